package org.wigeonmast.proxy.internal;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.wigeonmast.proxy.HeaderConventions;

/**
 * What the head of a response is to the request that waits on its connection.
 * <p>
 * Thread safety: immutable. Invariant: a response is an answer only if nothing in its
 * head says that it belongs to another request.
 */
sealed interface ResponseKind {

	/** Start of a status line. */
	Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

	/**
	 * Returns the kind of a response.
	 * @param head the head of the response
	 * @param conventions the names of header fields
	 * @param requestId the identifier of the request that waits
	 * @param first whether no other response can arrive on the connection before its
	 * answer
	 * @return the kind
	 */
	static ResponseKind of(HttpResponse head, HeaderConventions conventions, String requestId, boolean first) {
		if (HttpResponseStatus.SWITCHING_PROTOCOLS.equals(head.status())) {
			return new Invalid("The server switched protocols without being asked to");
		}
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return new Informational();
		}
		if (holdsStatusLine(head)) {
			return new Invalid("The head of the response holds the start of another one");
		}
		if (!isFramingValid(head.headers())) {
			return new Invalid("The response states its length ambiguously");
		}
		if (isForeign(head, conventions, requestId)) {
			if (head.headers().contains(conventions.requestId(), requestId, false)) {
				return new Invalid("The response names several requests");
			}
			return ResponseChecks.endsWithConnection(head, conventions)
					? new Invalid("Only the end of the connection ends a response to another request") : new Foreign();
		}
		boolean statedNotRun = conventions.statesNotRun(head);
		if (statedNotRun && !hasRequestId(head, conventions) && !first) {
			return new Invalid("A refusal without request identifier may belong to an earlier request");
		}
		if (!statedNotRun && !isValidAnswer(head, conventions)) {
			return new Invalid("The response " + head.status().code() + " is not the server's answer to this request");
		}
		return new Answer(statedNotRun);
	}

	// The start of a repeated response that broke off is continued by the next response.
	private static boolean holdsStatusLine(HttpResponse head) {
		return STATUS_LINE.matcher(head.status().reasonPhrase()).find()
				|| head.headers().entries().stream().anyMatch((field) -> STATUS_LINE.matcher(field.getValue()).find());
	}

	private static boolean isFramingValid(HttpHeaders headers) {
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		if (encodings.isEmpty()) {
			return lengths.size() <= 1;
		}
		return lengths.isEmpty() && encodings.size() == 1
				&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst());
	}

	private static boolean isForeign(HttpResponse head, HeaderConventions conventions, String requestId) {
		return conventions.requestIdEchoed()
				&& head.headers().getAll(conventions.requestId()).stream().anyMatch((id) -> !id.equals(requestId));
	}

	private static boolean hasRequestId(HttpResponse head, HeaderConventions conventions) {
		return !conventions.requestIdEchoed() || head.headers().contains(conventions.requestId());
	}

	// A success carries the proof field, and callers ask for no content encoding.
	private static boolean isValidAnswer(HttpResponse head, HeaderConventions conventions) {
		HttpHeaders headers = head.headers();
		if (!conventions.requestIdEchoed()) {
			return true;
		}
		boolean proven = head.status().codeClass() != HttpStatusClass.SUCCESS
				|| HeaderConventions.value(headers, conventions.successProof()) != null;
		return proven && hasRequestId(head, conventions) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
	}

	/** An informational response, which the answer follows. */
	record Informational() implements ResponseKind {
	}

	/** A late or repeated response to another request, which the answer follows. */
	record Foreign() implements ResponseKind {
	}

	/**
	 * A response after which nothing on the connection can be trusted.
	 *
	 * @param reason the cause
	 */
	record Invalid(String reason) implements ResponseKind {
	}

	/**
	 * The answer to the request.
	 *
	 * @param statedNotRun whether it states that the request was not run
	 */
	record Answer(boolean statedNotRun) implements ResponseKind {
	}

}
