package org.wigeonmast.proxy.internal;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removal of hop-by-hop header fields.
 * <p>
 * Thread safety: stateless.
 */
final class HopByHopHeaders {

	private static final List<String> NAMES = List.of("Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
			"Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade");

	private HopByHopHeaders() {
	}

	/**
	 * Removes the hop-by-hop fields, including those listed in the Connection field. A
	 * Content-Length stays: removing it would change the framing.
	 * @param headers the fields of a message
	 */
	static void remove(HttpHeaders headers) {
		List<String> connection = headers.getAll(HttpHeaderNames.CONNECTION);
		for (String value : connection) {
			for (String name : value.split(",")) {
				String trimmed = name.trim();
				if (!trimmed.isEmpty() && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(trimmed)
						&& !HttpHeaderNames.HOST.contentEqualsIgnoreCase(trimmed)) {
					headers.remove(trimmed);
				}
			}
		}
		headers.remove(HttpHeaderNames.CONNECTION);
		for (String name : NAMES) {
			headers.remove(name);
		}
	}

}
