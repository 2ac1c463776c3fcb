package org.wigeonmast.cli.standin;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * Stand-in on the loopback address for the platform's configuration store and host list.
 * <p>
 * Thread safety: usable from any thread. Invariants: a watch ends when the document
 * changes or when its wait time is over; while the platform is down, every connection is
 * closed without a response; while it is stale, published changes are deferred.
 */
public final class StandInPlatform implements AutoCloseable {

	private static final String INDEX_PATH = "/manifest/index";

	private static final String PARTS_PATH = "/manifest/parts/";

	private static final String HOSTS_PATH = "/hosts";

	private final LoopbackServer server;

	private final WatchedDocument index = new WatchedDocument();

	private final WatchedDocument hosts = new WatchedDocument();

	private final Map<String, byte[]> parts = new HashMap<>();

	private final List<Runnable> deferredChanges = new ArrayList<>();

	private final AtomicLong requestCount = new AtomicLong();

	private boolean down;

	private boolean stale;

	private volatile long hostListLagMs;

	/**
	 * Starts the platform on a free port with no manifest and an empty host list.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public StandInPlatform() throws InterruptedException {
		this.server = new LoopbackServer("stand-in-platform", 0, Handler::new);
		this.server.executor().execute(() -> this.hosts.update(HostListDocument.of(List.of())));
	}

	/**
	 * Returns the base URL, for the settings of daemons.
	 * @return the base URL
	 */
	public URI baseUrl() {
		return URI.create("http://" + this.server.address());
	}

	/**
	 * Returns the number of requests received; a watch counts as one.
	 * @return the number of requests
	 */
	public long requestCount() {
		return this.requestCount.get();
	}

	/**
	 * Publishes a manifest.
	 * @param manifest the documents
	 */
	public void publish(PublishedManifest manifest) {
		applyOrDefer(() -> {
			this.parts.putAll(manifest.parts());
			this.index.update(manifest.index());
		});
	}

	/**
	 * Publishes the host list after the lag set by {@link #setHostListLag}.
	 * @param list the hosts
	 */
	public void publishHosts(List<PlatformHost> list) {
		byte[] document = HostListDocument.of(list);
		this.server.executor()
			.schedule(() -> applyOrDefer(() -> this.hosts.update(document)), this.hostListLagMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets the delay between {@link #publishHosts} and the change of the host list.
	 * @param lagMs the lag in milliseconds
	 */
	public void setHostListLag(long lagMs) {
		this.hostListLagMs = lagMs;
	}

	/**
	 * Sets whether the platform is down.
	 * @param isDown whether connections are closed without a response
	 */
	public void setDown(boolean isDown) {
		this.server.executor().execute(() -> this.down = isDown);
		if (isDown) {
			this.server.closeConnections();
		}
	}

	/**
	 * Sets whether the platform serves stale documents. Deferred changes are applied when
	 * it no longer does.
	 * @param isStale whether changes are deferred
	 */
	public void setStale(boolean isStale) {
		this.server.executor().execute(() -> {
			this.stale = isStale;
			if (!isStale) {
				this.deferredChanges.forEach(Runnable::run);
				this.deferredChanges.clear();
			}
		});
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void applyOrDefer(Runnable change) {
		this.server.executor().execute(() -> {
			if (this.stale) {
				this.deferredChanges.add(change);
			}
			else {
				change.run();
			}
		});
	}

	private void handleRequest(ChannelHandlerContext context, FullHttpRequest request) {
		this.requestCount.incrementAndGet();
		if (this.down) {
			context.close();
			return;
		}
		String path = request.uri();
		switch (path) {
			case INDEX_PATH -> this.index.handleRequest(context, request);
			case HOSTS_PATH -> this.hosts.handleRequest(context, request);
			default -> sendPart(context, path);
		}
	}

	private void sendPart(ChannelHandlerContext context, String path) {
		byte[] part = path.startsWith(PARTS_PATH) ? this.parts.get(path.substring(PARTS_PATH.length())) : null;
		Responses.send(context, createJsonResponse(part));
	}

	static FullHttpResponse createJsonResponse(byte @Nullable [] document) {
		if (document == null) {
			return Responses.createText(HttpResponseStatus.NOT_FOUND, "there is no such document");
		}
		FullHttpResponse response = Responses.create(HttpResponseStatus.OK, document);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		return response;
	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			handleRequest(context, request);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
