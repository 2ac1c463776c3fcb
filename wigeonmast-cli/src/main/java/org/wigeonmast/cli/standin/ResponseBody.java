package org.wigeonmast.cli.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Response body of a stand-in backend server: the request's identifier, a line feed and
 * padding.
 * <p>
 * Thread safety: stateless.
 */
public final class ResponseBody {

	private static final byte PADDING = '.';

	private ResponseBody() {
	}

	static byte[] of(ServerRequest request) {
		return of(request.requestId(), request.profile().responseSizeBytes());
	}

	/**
	 * Returns the expected body of the response to a request, so that callers can verify
	 * it.
	 * @param requestId the request's identifier
	 * @param size the minimum size in bytes
	 * @return the body
	 */
	public static byte[] of(String requestId, int size) {
		byte[] start = (requestId + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] body = Arrays.copyOf(start, Math.max(start.length, size));
		Arrays.fill(body, start.length, body.length, PADDING);
		return body;
	}

}
