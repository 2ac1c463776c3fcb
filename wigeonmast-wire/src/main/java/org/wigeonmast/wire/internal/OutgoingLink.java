package org.wigeonmast.wire.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.Slice;
import org.wigeonmast.wire.WireEvent;

/**
 * Link to one peer, which connects when a message is sent and reconnects with exponential
 * backoff and jitter.
 * <p>
 * Thread safety: all state is confined to one event loop. Invariants: at most
 * {@link #QUEUE_LIMIT_BYTES} bytes wait for the link to open; messages that wait longer
 * than {@link #MESSAGE_LIFETIME_MS} are dropped, because the components that sent them no
 * longer wait for a reply.
 */
final class OutgoingLink {

	/** Maximum size of all messages that are queued while the link opens. */
	static final int QUEUE_LIMIT_BYTES = 2 * LinkFrames.FRAME_LIMIT_BYTES;

	/** Time after which a queued message is dropped. */
	static final long MESSAGE_LIFETIME_MS = 2000;

	/** Time without a received frame after which a keep-alive frame is sent. */
	static final long KEEP_ALIVE_INTERVAL_MS = 2000;

	/** Time without a received frame after which an accepted link is closed. */
	static final long READ_TIMEOUT_MS = KEEP_ALIVE_INTERVAL_MS * (ConnectedLinkHandler.MAX_UNANSWERED_KEEP_ALIVES + 1);

	/** Time without a message sent after which a link is closed. */
	static final long IDLE_TIMEOUT_MS = 60_000;

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final long INITIAL_BACKOFF_MS = 50;

	private static final long MAX_BACKOFF_MS = 2000;

	private final EventLog log = new EventLog(OutgoingLink.class);

	private final LinkSettings settings;

	private final HostAddress peer;

	private final EventLoop eventLoop;

	private final Consumer<OutgoingLink> onUnused;

	private final Deque<QueuedMessage> queue = new ArrayDeque<>();

	private int queuedBytes;

	private long backoffMs = INITIAL_BACKOFF_MS;

	private State state = State.IDLE;

	private long lastUsedMs;

	private @Nullable ConnectedLinkHandler handler;

	private @Nullable ChannelHandlerContext context;

	OutgoingLink(LinkSettings settings, HostAddress peer, EventLoop eventLoop, Consumer<OutgoingLink> onUnused) {
		this.settings = settings;
		this.peer = peer;
		this.eventLoop = eventLoop;
		this.onUnused = onUnused;
	}

	void send(Slice slice, byte[] content) {
		this.eventLoop.execute(() -> sendNow(slice, content));
	}

	void close() {
		this.eventLoop.execute(() -> {
			this.state = State.CLOSED;
			ChannelHandlerContext openContext = this.context;
			if (openContext != null) {
				openContext.close();
			}
		});
	}

	private void sendNow(Slice slice, byte[] content) {
		this.lastUsedMs = nowMs();
		ChannelHandlerContext openContext = this.context;
		ConnectedLinkHandler linkHandler = this.handler;
		if (openContext != null && linkHandler != null) {
			sendOnOpenLink(openContext, linkHandler, slice, content);
			return;
		}
		if (this.queuedBytes + content.length > QUEUE_LIMIT_BYTES) {
			this.log.log(WireEvent.QUEUE_FULL, this.peer, this.queuedBytes);
			return;
		}
		this.queue.add(new QueuedMessage(this.lastUsedMs, slice, content));
		this.queuedBytes += content.length;
		connect();
	}

	private void sendOnOpenLink(ChannelHandlerContext openContext, ConnectedLinkHandler linkHandler, Slice slice,
			byte[] content) {
		if (openContext.channel().isWritable()) {
			linkHandler.send(openContext, slice.number(), content);
		}
		else {
			this.log.log(WireEvent.QUEUE_FULL, this.peer, QUEUE_LIMIT_BYTES);
		}
	}

	private void connect() {
		if (this.state != State.IDLE) {
			return;
		}
		this.state = State.CONNECTING;
		ConnectedLinkHandler linkHandler = new ConnectedLinkHandler(this.settings, this::onOpened);
		this.handler = linkHandler;
		new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LinkFrames.FRAME_LIMIT_BYTES, QUEUE_LIMIT_BYTES))
			.handler(new LinkInitializer(linkHandler))
			.connect(this.peer.address(), this.peer.port())
			.addListener((ChannelFuture future) -> {
				if (future.isSuccess()) {
					future.channel().closeFuture().addListener((ignored) -> onClosed("the connection ended"));
				}
				else {
					onClosed(String.valueOf(future.cause().getMessage()));
				}
			});
	}

	private void onOpened(ChannelHandlerContext openContext) {
		this.state = State.OPEN;
		this.context = openContext;
		this.backoffMs = INITIAL_BACKOFF_MS;
		this.log.log(WireEvent.LINK_OPENED, this.peer);
		scheduleIdleCheck(openContext.channel());
		ConnectedLinkHandler linkHandler = this.handler;
		long oldestMs = nowMs() - MESSAGE_LIFETIME_MS;
		for (QueuedMessage message : this.queue) {
			if (linkHandler != null && message.queuedAtMs >= oldestMs) {
				linkHandler.send(openContext, message.slice.number(), message.content);
			}
		}
		clearQueue();
	}

	private void scheduleIdleCheck(Channel channel) {
		long remainingMs = this.lastUsedMs + IDLE_TIMEOUT_MS - nowMs();
		if (remainingMs <= 0) {
			channel.close();
			return;
		}
		this.eventLoop.schedule(() -> {
			if (channel.isActive()) {
				scheduleIdleCheck(channel);
			}
		}, remainingMs, TimeUnit.MILLISECONDS);
	}

	private void onClosed(String reason) {
		this.context = null;
		this.handler = null;
		this.log.log(WireEvent.LINK_CLOSED, this.peer, reason);
		long delayMs = this.backoffMs / 2 + ThreadLocalRandom.current().nextLong(this.backoffMs);
		this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
		if (this.state != State.CLOSED && !this.eventLoop.isShuttingDown()) {
			this.state = State.BACKING_OFF;
			this.eventLoop.schedule(this::reconnect, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	private void reconnect() {
		if (this.state == State.CLOSED) {
			return;
		}
		this.state = State.IDLE;
		long oldestMs = nowMs() - MESSAGE_LIFETIME_MS;
		while (!this.queue.isEmpty() && this.queue.peek().queuedAtMs < oldestMs) {
			this.queuedBytes -= this.queue.remove().content.length;
		}
		if (this.queue.isEmpty()) {
			this.onUnused.accept(this);
		}
		else {
			connect();
		}
	}

	private void clearQueue() {
		this.queue.clear();
		this.queuedBytes = 0;
	}

	private static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private record QueuedMessage(long queuedAtMs, Slice slice, byte[] content) {
	}

	private enum State {

		IDLE, CONNECTING, OPEN, BACKING_OFF, CLOSED

	}

	private static final class LinkInitializer extends ChannelInitializer<Channel> {

		private final ConnectedLinkHandler handler;

		private LinkInitializer(ConnectedLinkHandler handler) {
			this.handler = handler;
		}

		@Override
		protected void initChannel(Channel channel) {
			channel.pipeline().addLast(new IdleStateHandler(KEEP_ALIVE_INTERVAL_MS, 0, 0, TimeUnit.MILLISECONDS));
			LinkFrames.addHandshakeCodecs(channel.pipeline());
			channel.pipeline().addLast(this.handler);
		}

	}

}
