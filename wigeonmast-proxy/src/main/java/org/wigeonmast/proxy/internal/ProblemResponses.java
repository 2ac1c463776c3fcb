package org.wigeonmast.proxy.internal;

import java.math.BigDecimal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.ProxyHeaders;

/**
 * Factory for responses with problem documents (RFC 9457).
 * <p>
 * Thread safety: stateless.
 */
final class ProblemResponses {

	private static final String CONTENT_TYPE = "application/problem+json";

	private static final String INSTANCE_PREFIX = "urn:wigeonmast:request:";

	private static final String SERVED_METHODS = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

	private static final long MILLISECONDS_PER_SECOND = 1000;

	private static final int MILLISECOND_DIGITS = 3;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ProblemResponses() {
	}

	/**
	 * Creates a response.
	 * @param problem the kind of problem
	 * @param detail the cause for this request
	 * @param requestId the identifier that the caller sees
	 * @param mayHaveRun whether the request may have been run
	 * @param conventions the names of header fields
	 * @return the response, with its Content-Length
	 */
	static FullHttpResponse create(Problem problem, String detail, String requestId, boolean mayHaveRun,
			HeaderConventions conventions) {
		ObjectNode document = MAPPER.createObjectNode()
			.put("type", problem.type())
			.put("title", problem.title())
			.put("status", problem.status().code())
			.put("detail", detail)
			.put("instance", INSTANCE_PREFIX + requestId)
			.put("execution", mayHaveRun ? ProxyHeaders.UNKNOWN : ProxyHeaders.NOT_RUN);
		byte[] content = toBytes(document);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, problem.status(),
				Unpooled.wrappedBuffer(content));
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
			.set(HttpHeaderNames.CONTENT_LENGTH, content.length)
			.set(conventions.requestId(), requestId);
		if (problem == Problem.NOT_RUN) {
			response.headers().set(conventions.execution(), ProxyHeaders.NOT_RUN);
		}
		if (problem == Problem.METHOD) {
			response.headers().set(HttpHeaderNames.ALLOW, SERVED_METHODS);
		}
		if (problem == Problem.VERSION) {
			response.headers().set(HttpHeaderNames.UPGRADE, HttpVersion.HTTP_1_1.text());
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.UPGRADE);
		}
		return response;
	}

	/**
	 * Creates the response to a request that has not been run.
	 * @param detail the reason
	 * @param requestId the identifier that the caller sees
	 * @param retryAfterMs the advised wait in milliseconds, 0 for none
	 * @param conventions the names of header fields
	 * @return the response
	 */
	static FullHttpResponse createNotRun(String detail, String requestId, long retryAfterMs,
			HeaderConventions conventions) {
		FullHttpResponse response = create(Problem.NOT_RUN, detail, requestId, false, conventions);
		if (retryAfterMs > 0) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterMs, conventions.fractionalRetryAfter()));
		}
		return response;
	}

	private static String formatSeconds(long milliseconds, boolean fractional) {
		return fractional ? BigDecimal.valueOf(milliseconds, MILLISECOND_DIGITS).toPlainString()
				: Long.toString((milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
	}

	private static byte[] toBytes(ObjectNode document) {
		try {
			return MAPPER.writeValueAsBytes(document);
		}
		catch (JsonProcessingException exception) {
			throw new IllegalStateException("A tree of text and numbers cannot fail to serialize", exception);
		}
	}

}
