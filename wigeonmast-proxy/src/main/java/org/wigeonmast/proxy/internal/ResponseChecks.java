package org.wigeonmast.proxy.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.wigeonmast.proxy.HeaderConventions;

/**
 * What the head of an answer says about its connection.
 * <p>
 * Thread safety: stateless.
 */
final class ResponseChecks {

	/** Value of {@link #idleLimitMs} if the server states no limit. */
	static final long NO_LIMIT = Long.MAX_VALUE;

	private static final String KEEP_ALIVE = "Keep-Alive";

	private static final Pattern IDLE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

	private static final long MILLISECONDS_PER_SECOND = 1000;

	private ResponseChecks() {
	}

	/**
	 * Returns whether only the end of its connection ends the body of a response, and
	 * servers name the request of each response, so that one behind it is recognised.
	 * @param head the head of the response
	 * @param conventions the names of header fields
	 * @return whether another response behind it would look like a part of its body
	 */
	static boolean endsWithConnection(HttpResponse head, HeaderConventions conventions) {
		return conventions.requestIdEchoed() && !head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
				&& !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
	}

	/**
	 * Returns the server's idle timeout from the Keep-Alive field.
	 * @param head the head of a response
	 * @return the time in milliseconds, or {@link #NO_LIMIT}
	 */
	static long idleLimitMs(HttpResponse head) {
		String stated = head.headers().get(KEEP_ALIVE);
		Matcher matcher = (stated != null) ? IDLE_SECONDS.matcher(stated) : null;
		return (matcher != null && matcher.find()) ? Long.parseLong(matcher.group(1)) * MILLISECONDS_PER_SECOND
				: NO_LIMIT;
	}

}
