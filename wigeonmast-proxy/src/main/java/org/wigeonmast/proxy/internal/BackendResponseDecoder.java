package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.wigeonmast.proxy.ProxyConfiguration;

/**
 * Decoder for responses of backend servers.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {

	private boolean headRequest;

	BackendResponseDecoder(ProxyConfiguration.Limits limits) {
		super(CallerRequestDecoder.decoderConfiguration(limits));
	}

	/**
	 * Sets whether the request being answered is a HEAD request, whose response has no
	 * body.
	 * @param headRequest whether it is a HEAD request
	 */
	void setHeadRequest(boolean headRequest) {
		this.headRequest = headRequest;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("The message has both Content-Length and Transfer-Encoding");
	}

}
