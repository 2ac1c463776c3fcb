package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes responses to callers and leaves out the body of responses to HEAD.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private boolean head;

	/**
	 * Sets whether the request being answered is a HEAD request.
	 * @param head whether it is
	 */
	void setHead(boolean head) {
		this.head = head;
	}

	boolean isHead() {
		return this.head;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse message) {
		return this.head || super.isContentAlwaysEmpty(message);
	}

}
