package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Problem types of refused requests, with the texts of their problem documents (RFC
 * 9457).
 * <p>
 * Thread safety: immutable. Invariant: {@link #NOT_RUN} is used only for requests that
 * were not sent to any backend server, or that every server that received them declared
 * not run.
 */
public enum Problem {

	/** The request has not been run and may be repeated. */
	NOT_RUN("not-run", "The request has not been run", HttpResponseStatus.SERVICE_UNAVAILABLE),

	/** The request may have been run. */
	UNKNOWN("unknown", "The request may have been run", HttpResponseStatus.BAD_GATEWAY),

	/** The request may have been run, and its deadline has passed. */
	DEADLINE_PASSED("deadline-passed", "The request may have been run and its deadline has passed",
			HttpResponseStatus.GATEWAY_TIMEOUT),

	/** No route matches the request. */
	NO_ROUTE("no-route", "No service is configured for this method and path", HttpResponseStatus.NOT_FOUND),

	/** The head of the request violates HTTP/1.1. */
	MALFORMED("malformed-request", "The request is malformed", HttpResponseStatus.BAD_REQUEST),

	/** The form of the request target is not supported. */
	TARGET("unsupported-target", "Only targets in origin form are served", HttpResponseStatus.BAD_REQUEST),

	/** The method is not supported. */
	METHOD("unsupported-method", "The method is not served", HttpResponseStatus.METHOD_NOT_ALLOWED),

	/** The HTTP version is not supported. */
	VERSION("unsupported-version", "HTTP/1.1 is required", HttpResponseStatus.UPGRADE_REQUIRED),

	/** The request asks for a protocol upgrade. */
	UPGRADE("unsupported-upgrade", "Protocol upgrades are not served", HttpResponseStatus.BAD_REQUEST),

	/** The Expect header has an unknown value. */
	EXPECTATION("unsupported-expectation", "The expectation is not served", HttpResponseStatus.EXPECTATION_FAILED),

	/** The request line is too long. */
	LINE_TOO_LONG("request-line-too-long", "The request line is too long", HttpResponseStatus.REQUEST_URI_TOO_LONG),

	/** The header fields are too large. */
	HEADERS_TOO_LARGE("headers-too-large", "The header fields are too large",
			HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),

	/** The body is too large. */
	BODY_TOO_LARGE("body-too-large", "The body is too large", HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE),

	/** The head or the body arrives too slowly. */
	TOO_SLOW("request-too-slow", "The request arrived too slowly", HttpResponseStatus.REQUEST_TIMEOUT);

	private static final String TYPE_PREFIX = "urn:wigeonmast:problem:";

	private final String type;

	private final String title;

	private final HttpResponseStatus status;

	Problem(String type, String title, HttpResponseStatus status) {
		this.type = TYPE_PREFIX + type;
		this.title = title;
		this.status = status;
	}

	/**
	 * Returns the type.
	 * @return the URI of the type
	 */
	public String type() {
		return this.type;
	}

	/**
	 * Returns the title.
	 * @return the title, which is the same for all problems of this type
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public HttpResponseStatus status() {
		return this.status;
	}

}
