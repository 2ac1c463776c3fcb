package org.wigeonmast.cli.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The body of an answer: the request's identifier, a line feed and filler.
 * <p>
 * Thread safety: stateless.
 */
public final class ResponseBody {

	private static final byte FILLER = '.';

	private ResponseBody() {
	}

	static byte[] of(ServerRequest work) {
		return of(work.requestId(), work.profile().responseSizeBytes());
	}

	/**
	 * Returns the body that belongs to a request, so that callers can check it.
	 * @param requestId the request's identifier
	 * @param size the least size in bytes
	 * @return the body
	 */
	public static byte[] of(String requestId, int size) {
		byte[] start = (requestId + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] body = Arrays.copyOf(start, Math.max(start.length, size));
		Arrays.fill(body, start.length, body.length, FILLER);
		return body;
	}

}
