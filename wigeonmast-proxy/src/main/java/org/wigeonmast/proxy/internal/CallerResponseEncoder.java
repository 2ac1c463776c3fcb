package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encoder for responses to callers, which omits the body of responses to HEAD.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private boolean headRequest;

	/**
	 * Sets whether the request being answered is a HEAD request.
	 * @param headRequest whether it is a HEAD request
	 */
	void setHeadRequest(boolean headRequest) {
		this.headRequest = headRequest;
	}

	boolean isHeadRequest() {
		return this.headRequest;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
