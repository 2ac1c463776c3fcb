package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.wigeonmast.proxy.ProxyConfiguration;

/**
 * Decodes responses of backend servers.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {

	private boolean head;

	BackendResponseDecoder(ProxyConfiguration.Limits limits) {
		super(CallerRequestDecoder.configuration(limits));
	}

	/**
	 * Sets whether the request being answered is a HEAD request, whose response has no
	 * body.
	 * @param head whether it is
	 */
	void setHead(boolean head) {
		this.head = head;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.head || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("The message has both Content-Length and Transfer-Encoding");
	}

}
