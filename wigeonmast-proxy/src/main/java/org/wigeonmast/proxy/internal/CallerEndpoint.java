package org.wigeonmast.proxy.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The caller as one exchange sees it: its connection, or its place behind other requests
 * on that connection.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
interface CallerEndpoint {

	/** Tells the caller to send the body. */
	void sendContinue();

	/** Asks for the next message of the caller. */
	void requestNext();

	/**
	 * Answers the request with a response of the proxy itself.
	 * @param response the response
	 * @param requestComplete whether the whole request was read
	 */
	void respond(FullHttpResponse response, boolean requestComplete);

	/**
	 * Begins to relay a response.
	 * @param response the response, whose hop-by-hop fields are removed
	 * @param requestId the identifier that the caller sees
	 * @param requestComplete whether the whole request was read
	 */
	void respondHead(HttpResponse response, String requestId, boolean requestComplete);

	/**
	 * Relays a piece of the response.
	 * @param content the piece, which the channel then owns
	 * @return whether the caller takes more at once
	 */
	boolean respondContent(HttpContent content);

	/**
	 * Relays the end of the response.
	 * @param content the last piece, which the channel then owns
	 * @param completed runs when everything was handed to the operating system
	 */
	void respondLast(ByteBuf content, Runnable completed);

	/** Serves the next request, or closes, after a response is complete. */
	void onExchangeEnded();

	/** Hands what was written to the operating system. */
	void flush();

	/** Resets the connection, so that the caller cannot take a response for complete. */
	void resetConnection();

	/**
	 * Returns whether the response has to wait for those of earlier requests.
	 * @return whether it waits
	 */
	boolean isWaitingForTurn();

}
