package org.wigeonmast.proxy.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.ProxyConfiguration;

/**
 * Checks of request heads that the decoder does not make.
 * <p>
 * Thread safety: stateless.
 */
final class RequestHeadChecks {

	/** Maximum length of a header value that identifies a caller, a request or a key. */
	static final int MAX_TOKEN_LENGTH = 128;

	/** Maximum number of digits in a header value, so that it fits an {@code int}. */
	private static final int MAX_NUMBER_DIGITS = 9;

	private static final int MAX_CONTENT_LENGTH_DIGITS = 18;

	private RequestHeadChecks() {
	}

	/**
	 * Checks a request head.
	 * @param request the request
	 * @param configuration the limits and the names of header fields
	 * @return the rejection, or {@code null} if the head is valid
	 */
	static @Nullable Rejection check(HttpRequest request, ProxyConfiguration configuration) {
		if (request.decoderResult().isFailure()) {
			return RequestAdmission.rejectionFor(request.decoderResult());
		}
		Rejection rejection = checkRequestLine(request);
		if (rejection == null) {
			rejection = checkFraming(request.headers(), configuration.limits());
		}
		if (rejection == null) {
			rejection = checkNegotiation(request.headers());
		}
		return (rejection != null) ? rejection : checkProxyFields(request.headers(), configuration.headers());
	}

	private static @Nullable Rejection checkRequestLine(HttpRequest request) {
		if (!HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
			return new Rejection(Problem.VERSION, "The version of the request is not HTTP/1.1");
		}
		if (HttpMethod.CONNECT.equals(request.method()) || HttpMethod.TRACE.equals(request.method())) {
			return new Rejection(Problem.METHOD, request.method().name() + " is not served");
		}
		String target = request.uri();
		if (!target.startsWith("/")) {
			return new Rejection(Problem.TARGET, "The target does not start with a slash");
		}
		for (int i = 0; i < target.length(); i++) {
			char character = target.charAt(i);
			if (character <= ' ' || character >= 0x7f || character == '#') {
				return new Rejection(Problem.MALFORMED, "The target has a character that must be encoded");
			}
		}
		if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
			return new Rejection(Problem.MALFORMED, "Exactly one Host field is required");
		}
		return null;
	}

	private static @Nullable Rejection checkFraming(HttpHeaders headers, ProxyConfiguration.Limits limits) {
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!lengths.isEmpty() && !encodings.isEmpty()) {
			return new Rejection(Problem.MALFORMED, "The request has both Content-Length and Transfer-Encoding");
		}
		if (lengths.size() > 1 || encodings.size() > 1) {
			return new Rejection(Problem.MALFORMED, "The length of the body is stated more than once");
		}
		if (!encodings.isEmpty() && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst())) {
			return new Rejection(Problem.MALFORMED, "The only transfer encoding served is chunked");
		}
		if (!lengths.isEmpty()) {
			if (!isNumber(lengths.getFirst(), MAX_CONTENT_LENGTH_DIGITS)) {
				return new Rejection(Problem.MALFORMED, "Content-Length is no decimal number");
			}
			if (Long.parseLong(lengths.getFirst()) > limits.body()) {
				return new Rejection(Problem.BODY_TOO_LARGE, "The body exceeds " + limits.body() + " bytes");
			}
		}
		return null;
	}

	private static @Nullable Rejection checkNegotiation(HttpHeaders headers) {
		for (String protocol : headers.getAll(HttpHeaderNames.UPGRADE)) {
			// java.net.http.HttpClient offers h2c by default and continues with HTTP/1.1
			// if the offer is ignored.
			if (!"h2c".equalsIgnoreCase(protocol.trim())) {
				return new Rejection(Problem.UPGRADE, "No upgrade to another protocol is served");
			}
		}
		for (String expectation : headers.getAll(HttpHeaderNames.EXPECT)) {
			if (!RequestAdmission.isServedExpectation(expectation)) {
				return new Rejection(Problem.EXPECTATION, "The only expectation served is 100-continue");
			}
		}
		return null;
	}

	private static @Nullable Rejection checkProxyFields(HttpHeaders headers, HeaderConventions conventions) {
		for (String name : withoutNulls(conventions.caller(), conventions.idempotencyKey())) {
			List<String> values = headers.getAll(name);
			if (values.size() > 1 || (values.size() == 1 && !isToken(values.getFirst()))) {
				return new Rejection(Problem.MALFORMED,
						name + " must be one value of 1 to " + MAX_TOKEN_LENGTH + " visible ASCII characters");
			}
		}
		for (String name : withoutNulls(conventions.remainingTime(), conventions.attempt())) {
			List<String> values = headers.getAll(name);
			if (values.size() > 1 || (values.size() == 1 && !isNumber(values.getFirst(), MAX_NUMBER_DIGITS))) {
				return new Rejection(Problem.MALFORMED,
						name + " must be one decimal number of at most " + MAX_NUMBER_DIGITS + " digits");
			}
		}
		return null;
	}

	private static List<String> withoutNulls(@Nullable String... names) {
		return Arrays.stream(names).filter(Objects::nonNull).map(Objects::requireNonNull).toList();
	}

	/**
	 * Returns whether a value has 1 to {@link #MAX_TOKEN_LENGTH} visible ASCII
	 * characters.
	 * @param value the value
	 * @return whether it is a valid token
	 */
	static boolean isToken(String value) {
		return !value.isEmpty() && value.length() <= MAX_TOKEN_LENGTH
				&& value.chars().allMatch((character) -> character > ' ' && character < 0x7f);
	}

	private static boolean isNumber(String value, int digits) {
		return !value.isEmpty() && value.length() <= digits
				&& value.chars().allMatch((character) -> character >= '0' && character <= '9');
	}

}
