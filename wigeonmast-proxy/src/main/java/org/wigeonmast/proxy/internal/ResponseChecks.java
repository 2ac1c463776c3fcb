package org.wigeonmast.proxy.internal;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.wigeonmast.proxy.HeaderConventions;

/**
 * Checks of response heads that the decoder does not make.
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
	 * Returns whether the length of a response is stated unambiguously.
	 * @param headers its header fields
	 * @return whether the framing is valid
	 */
	static boolean isFramingValid(HttpHeaders headers) {
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		if (encodings.isEmpty()) {
			return lengths.size() <= 1;
		}
		return lengths.isEmpty() && encodings.size() == 1
				&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst());
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
	 * Returns whether a response belongs to another request.
	 * @param head the head of the response
	 * @param conventions the names of header fields
	 * @param requestId the identifier of the request that was sent
	 * @return whether it carries the identifier of another request
	 */
	static boolean isForeign(HttpResponse head, HeaderConventions conventions, String requestId) {
		return conventions.requestIdEchoed()
				&& head.headers().getAll(conventions.requestId()).stream().anyMatch((id) -> !id.equals(requestId));
	}

	/**
	 * Returns whether a response states to which request it belongs, if servers do so.
	 * @param head the head of the response
	 * @param conventions the names of header fields
	 * @return whether it carries a request identifier, or servers send none
	 */
	static boolean hasRequestId(HttpResponse head, HeaderConventions conventions) {
		return !conventions.requestIdEchoed() || head.headers().contains(conventions.requestId());
	}

	/**
	 * Returns whether a response is a valid answer to the request.
	 * @param head the head of the response
	 * @param conventions the names of header fields
	 * @return whether it carries a request identifier, carries the proof field if it is a
	 * success, and has no content encoding
	 */
	static boolean isValidAnswer(HttpResponse head, HeaderConventions conventions) {
		HttpHeaders headers = head.headers();
		if (!conventions.requestIdEchoed()) {
			return true;
		}
		boolean proven = head.status().codeClass() != HttpStatusClass.SUCCESS
				|| HeaderConventions.value(headers, conventions.successProof()) != null;
		return proven && hasRequestId(head, conventions) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
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
