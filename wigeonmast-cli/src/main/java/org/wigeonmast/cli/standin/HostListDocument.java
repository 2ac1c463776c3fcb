package org.wigeonmast.cli.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * JSON encoder of the platform's host list.
 * <p>
 * Thread safety: stateless.
 */
final class HostListDocument {

	private HostListDocument() {
	}

	static byte[] of(List<PlatformHost> list) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ArrayNode hosts = document.putArray("hosts");
		for (PlatformHost host : list) {
			hosts.addObject()
				.put("role", host.role().name().toLowerCase(Locale.ROOT))
				.put("address", host.address().toString())
				.put("state", host.leaving() ? "leaving" : "live");
		}
		return document.toString().getBytes(StandardCharsets.UTF_8);
	}

}
