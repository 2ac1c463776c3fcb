package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.RequestRouter;

/**
 * Validation and routing of request heads.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
final class RequestAdmission {

	private static final String STOPPING = "The daemon stops before the deadline of the request";

	private final ProxyContext context;

	private final RequestIds requestIds = new RequestIds();

	RequestAdmission(ProxyContext context) {
		this.context = context;
	}

	/**
	 * Admits a request.
	 * @param request the request, from which hop-by-hop fields are removed
	 * @param peer the address of the peer
	 * @return the admitted head, or the rejection
	 */
	Either<Rejection, AdmittedHead> admit(HttpRequest request, String peer) {
		Rejection rejection = RequestHeadChecks.check(request, this.context.configuration());
		if (rejection != null) {
			return Either.left(rejection);
		}
		String host = request.headers().get(HttpHeaderNames.HOST);
		return switch (this.context.router().route(host, request.method().name(), path(request.uri()))) {
			case RequestRouter.Result.Found found -> admitInTime(createHead(request, peer, found.route()));
			case RequestRouter.Result.Unconfigured unconfigured ->
				Either.left(new Rejection(Problem.NOT_RUN, unconfigured.reason()));
			case RequestRouter.Result.Unknown _ ->
				Either.left(new Rejection(Problem.NO_ROUTE, "No route matches " + request.method().name()));
		};
	}

	private Either<Rejection, AdmittedHead> admitInTime(AdmittedHead head) {
		return this.context.admits(head) ? Either.right(head) : Either.left(new Rejection(Problem.NOT_RUN, STOPPING));
	}

	/**
	 * Returns whether a request has no body and may be run more than once.
	 * @param request the request
	 * @return whether it can be processed concurrently with others of its connection
	 */
	boolean isRepeatable(HttpRequest request) {
		HttpHeaders headers = request.headers();
		if (!HttpMethod.GET.equals(request.method()) || headers.contains(HttpHeaderNames.EXPECT)
				|| HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) != 0
				|| RequestHeadChecks.check(request, this.context.configuration()) != null) {
			return false;
		}
		String host = headers.get(HttpHeaderNames.HOST);
		return this.context.router()
			.route(host, request.method().name(), path(request.uri())) instanceof RequestRouter.Result.Found found
				&& found.route().idempotent();
	}

	/**
	 * Returns the request identifier sent by the caller.
	 * @param request the request
	 * @return the identifier, or {@code null} if it is absent or invalid
	 */
	@Nullable String declaredId(HttpRequest request) {
		String declared = request.headers().get(conventions().requestId());
		return (declared != null && RequestHeadChecks.isToken(declared)) ? declared : null;
	}

	/**
	 * Generates an identifier for a request without a valid one.
	 * @return the identifier
	 */
	RequestId generateId() {
		return this.requestIds.next();
	}

	private AdmittedHead createHead(HttpRequest request, String peer, Route route) {
		HttpHeaders headers = request.headers();
		RequestId id = this.requestIds.next();
		String declaredId = declaredId(request);
		String externalId = (declaredId != null) ? declaredId : id.value();
		String declaredCaller = HeaderConventions.value(headers, conventions().caller());
		CallerId caller = new CallerId((declaredCaller != null) ? declaredCaller : peer);
		String attempt = HeaderConventions.value(headers, conventions().attempt());
		boolean keepAlive = HttpUtil.isKeepAlive(request);
		boolean expectsContinue = headers.contains(HttpHeaderNames.EXPECT);
		long length = HttpUtil.isTransferEncodingChunked(request) ? AdmittedHead.UNKNOWN_LENGTH
				: HttpUtil.getContentLength(request, 0L);
		HopByHopHeaders.remove(headers);
		headers.remove(HttpHeaderNames.EXPECT);
		headers.set(conventions().requestId(), externalId);
		String callerName = conventions().caller();
		if (callerName != null) {
			headers.set(callerName, caller.value());
		}
		if (conventions().viaAdded()) {
			headers.add(HttpHeaderNames.VIA, "1.1 " + this.context.configuration().daemonName());
		}
		return new AdmittedHead(request, id, externalId, route, caller, computeDeadline(headers, route),
				HeaderConventions.value(headers, conventions().idempotencyKey()),
				(attempt != null) ? Integer.parseInt(attempt) : 0, length, keepAlive, expectsContinue);
	}

	private long computeDeadline(HttpHeaders headers, Route route) {
		String declared = headers.get(conventions().remainingTime());
		long timeout = Math.min((declared != null) ? Long.parseLong(declared) : route.timeout(),
				route.policy().maxTimeout());
		return this.context.clock().milliseconds()
				+ Math.min(timeout, this.context.configuration().timeouts().request());
	}

	private HeaderConventions conventions() {
		return this.context.configuration().headers();
	}

	private static String path(String target) {
		int query = target.indexOf('?');
		return (query < 0) ? target : target.substring(0, query);
	}

	/**
	 * Returns the rejection for bytes that could not be decoded.
	 * @param result the result of the decoder
	 * @return the rejection
	 */
	static Rejection rejectionFor(DecoderResult result) {
		return rejectionFor(result.cause());
	}

	/**
	 * Returns the rejection for bytes that could not be decoded.
	 * @param cause the exception of the decoder
	 * @return the rejection
	 */
	static Rejection rejectionFor(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return new Rejection(Problem.LINE_TOO_LONG, "The request line exceeds the limit");
		}
		if (cause instanceof TooLongFrameException) {
			return new Rejection(Problem.HEADERS_TOO_LARGE, "The header fields exceed the limit");
		}
		String message = cause.getMessage();
		return new Rejection(Problem.MALFORMED, (message != null) ? message : "The message cannot be decoded");
	}

	/**
	 * Returns whether an expectation is supported, which only 100-continue is.
	 * @param value the value of Expect
	 * @return whether it is 100-continue
	 */
	static boolean isServedExpectation(String value) {
		return HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(value);
	}

}
