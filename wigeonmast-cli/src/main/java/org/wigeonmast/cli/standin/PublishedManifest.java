package org.wigeonmast.cli.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Documents of a manifest as a deployment pipeline publishes them: the index and the
 * parts.
 * <p>
 * Thread safety: immutable.
 *
 * @param index the bytes of the index
 * @param parts the bytes of the parts by SHA-256 hash in hexadecimal
 */
public record PublishedManifest(byte[] index, Map<String, byte[]> parts) {

	/**
	 * Creates the documents of a manifest from JSON texts.
	 * @param version the version
	 * @param partsByName the JSON texts of the parts by name
	 * @return the documents
	 */
	public static PublishedManifest of(long version, Map<String, String> partsByName) {
		Map<String, byte[]> bytes = new LinkedHashMap<>();
		partsByName.forEach((name, text) -> bytes.put(name, text.getBytes(StandardCharsets.UTF_8)));
		return ofBytes(version, bytes);
	}

	/**
	 * Creates the documents of a manifest from encoded parts.
	 * @param version the version
	 * @param partsByName the bytes of the parts by name
	 * @return the documents
	 */
	public static PublishedManifest ofBytes(long version, Map<String, byte[]> partsByName) {
		ObjectNode index = JsonNodeFactory.instance.objectNode().put("version", version);
		ArrayNode entries = index.putArray("parts");
		Map<String, byte[]> parts = new LinkedHashMap<>();
		partsByName.forEach((name, bytes) -> {
			String hash = DigestUtils.sha256Hex(bytes);
			parts.put(hash, bytes);
			entries.addObject().put("name", name).put("sha256", hash).put("size", bytes.length);
		});
		return new PublishedManifest(index.toString().getBytes(StandardCharsets.UTF_8), parts);
	}

}
