package org.wigeonmast.cli.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/**
 * Document with an entity tag that clients can watch by long polling.
 * <p>
 * Thread safety: none; confined to the server's thread.
 */
final class WatchedDocument {

	private static final Pattern WAIT_PREFERENCE = Pattern.compile("wait=([0-9]{1,4})");

	private static final String PREFER_HEADER = "Prefer";

	private final List<Watch> watches = new ArrayList<>();

	private byte @Nullable [] document;

	private String entityTag = "";

	void update(byte[] newDocument) {
		this.document = newDocument;
		this.entityTag = "\"" + DigestUtils.sha256Hex(newDocument) + "\"";
		List<Watch> endedWatches = List.copyOf(this.watches);
		this.watches.clear();
		endedWatches.forEach((watch) -> send(watch.context()));
	}

	void handleRequest(ChannelHandlerContext context, FullHttpRequest request) {
		String knownEntityTag = request.headers().get(HttpHeaderNames.IF_NONE_MATCH, "");
		if (this.document == null || !knownEntityTag.equals(this.entityTag)) {
			send(context);
			return;
		}
		Matcher matcher = WAIT_PREFERENCE.matcher(request.headers().get(PREFER_HEADER, ""));
		long seconds = matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
		Watch watch = new Watch(context);
		this.watches.add(watch);
		context.executor().schedule(() -> endWatch(watch), seconds, TimeUnit.SECONDS);
	}

	private void endWatch(Watch watch) {
		if (this.watches.remove(watch)) {
			FullHttpResponse response = Responses.create(HttpResponseStatus.NOT_MODIFIED, new byte[0]);
			response.headers().set(HttpHeaderNames.ETAG, this.entityTag);
			Responses.send(watch.context(), response);
		}
	}

	private void send(ChannelHandlerContext context) {
		FullHttpResponse response = StandInPlatform.createJsonResponse(this.document);
		if (this.document != null) {
			response.headers().set(HttpHeaderNames.ETAG, this.entityTag);
		}
		Responses.send(context, response);
	}

	/**
	 * Long poll that waits for a change. Watches are compared by identity, because a
	 * connection may wait again later.
	 */
	private static final class Watch {

		private final ChannelHandlerContext context;

		private Watch(ChannelHandlerContext context) {
			this.context = context;
		}

		private ChannelHandlerContext context() {
			return this.context;
		}

	}

}
