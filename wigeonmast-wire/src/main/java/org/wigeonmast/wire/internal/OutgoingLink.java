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
 * A link to one peer that connects when there is something to send and reconnects with
 * jitter.
 * <p>
 * Thread safety: all state is confined to one event loop. Invariants: at most
 * {@link #QUEUE_LIMIT} bytes wait for the link to open; messages that wait longer than
 * {@link #MESSAGE_LIFETIME_MILLISECONDS} are dropped, because the components that sent
 * them have moved on.
 */
final class OutgoingLink {

	/** Bytes that may wait while the link opens. */
	static final int QUEUE_LIMIT = 2 * LinkFrames.FRAME_LIMIT;

	/** Time in milliseconds after which a waiting message is dropped. */
	static final long MESSAGE_LIFETIME_MILLISECONDS = 2000;

	/**
	 * Time in milliseconds without a received frame after which a keep-alive frame is
	 * sent.
	 */
	static final long KEEP_ALIVE_MILLISECONDS = 2000;

	/** Time in milliseconds without any frame after which an accepted link is closed. */
	static final long SILENCE_MILLISECONDS = KEEP_ALIVE_MILLISECONDS * (ConnectedLinkHandler.UNANSWERED_LIMIT + 1);

	/** Time in milliseconds without a message after which a link is closed. */
	static final long IDLE_MILLISECONDS = 60_000;

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

	private static final long FIRST_BACKOFF_MILLISECONDS = 50;

	private static final long LARGEST_BACKOFF_MILLISECONDS = 2000;

	private final EventLog log = new EventLog(OutgoingLink.class);

	private final LinkSettings settings;

	private final HostAddress peer;

	private final EventLoop eventLoop;

	private final Consumer<OutgoingLink> unused;

	private final Deque<Waiting> queue = new ArrayDeque<>();

	private int queuedBytes;

	private long backoff = FIRST_BACKOFF_MILLISECONDS;

	private State state = State.IDLE;

	private long lastUse;

	private @Nullable ConnectedLinkHandler handler;

	private @Nullable ChannelHandlerContext context;

	OutgoingLink(LinkSettings settings, HostAddress peer, EventLoop eventLoop, Consumer<OutgoingLink> unused) {
		this.settings = settings;
		this.peer = peer;
		this.eventLoop = eventLoop;
		this.unused = unused;
	}

	void send(Slice slice, byte[] content) {
		this.eventLoop.execute(() -> sendNow(slice, content));
	}

	void close() {
		this.eventLoop.execute(() -> {
			this.state = State.CLOSED;
			ChannelHandlerContext open = this.context;
			if (open != null) {
				open.close();
			}
		});
	}

	private void sendNow(Slice slice, byte[] content) {
		this.lastUse = now();
		ChannelHandlerContext open = this.context;
		ConnectedLinkHandler connected = this.handler;
		if (open != null && connected != null) {
			sendOpen(open, connected, slice, content);
			return;
		}
		if (this.queuedBytes + content.length > QUEUE_LIMIT) {
			this.log.log(WireEvent.QUEUE_FULL, this.peer, this.queuedBytes);
			return;
		}
		this.queue.add(new Waiting(this.lastUse, slice, content));
		this.queuedBytes += content.length;
		connect();
	}

	private void sendOpen(ChannelHandlerContext open, ConnectedLinkHandler connected, Slice slice, byte[] content) {
		if (open.channel().isWritable()) {
			connected.send(open, slice.number(), content);
		}
		else {
			this.log.log(WireEvent.QUEUE_FULL, this.peer, QUEUE_LIMIT);
		}
	}

	private void connect() {
		if (this.state != State.IDLE) {
			return;
		}
		this.state = State.CONNECTING;
		ConnectedLinkHandler connected = new ConnectedLinkHandler(this.settings, this::opened);
		this.handler = connected;
		new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LinkFrames.FRAME_LIMIT, QUEUE_LIMIT))
			.handler(new LinkInitializer(connected))
			.connect(this.peer.address(), this.peer.port())
			.addListener((ChannelFuture future) -> {
				if (future.isSuccess()) {
					future.channel().closeFuture().addListener((ignored) -> closed("the connection ended"));
				}
				else {
					closed(String.valueOf(future.cause().getMessage()));
				}
			});
	}

	private void opened(ChannelHandlerContext opened) {
		this.state = State.OPEN;
		this.context = opened;
		this.backoff = FIRST_BACKOFF_MILLISECONDS;
		this.log.log(WireEvent.LINK_OPENED, this.peer);
		scheduleIdleCheck(opened.channel());
		ConnectedLinkHandler connected = this.handler;
		long oldest = now() - MESSAGE_LIFETIME_MILLISECONDS;
		for (Waiting waiting : this.queue) {
			if (connected != null && waiting.since >= oldest) {
				connected.send(opened, waiting.slice.number(), waiting.content);
			}
		}
		clearQueue();
	}

	private void scheduleIdleCheck(Channel channel) {
		long wait = this.lastUse + IDLE_MILLISECONDS - now();
		if (wait <= 0) {
			channel.close();
			return;
		}
		this.eventLoop.schedule(() -> {
			if (channel.isActive()) {
				scheduleIdleCheck(channel);
			}
		}, wait, TimeUnit.MILLISECONDS);
	}

	private void closed(String reason) {
		this.context = null;
		this.handler = null;
		this.log.log(WireEvent.LINK_CLOSED, this.peer, reason);
		long jittered = this.backoff / 2 + ThreadLocalRandom.current().nextLong(this.backoff);
		this.backoff = Math.min(LARGEST_BACKOFF_MILLISECONDS, this.backoff * 2);
		if (this.state != State.CLOSED && !this.eventLoop.isShuttingDown()) {
			this.state = State.BACKING_OFF;
			this.eventLoop.schedule(this::reconnect, jittered, TimeUnit.MILLISECONDS);
		}
	}

	private void reconnect() {
		if (this.state == State.CLOSED) {
			return;
		}
		this.state = State.IDLE;
		long oldest = now() - MESSAGE_LIFETIME_MILLISECONDS;
		while (!this.queue.isEmpty() && this.queue.peek().since < oldest) {
			this.queuedBytes -= this.queue.remove().content.length;
		}
		if (this.queue.isEmpty()) {
			this.unused.accept(this);
		}
		else {
			connect();
		}
	}

	private void clearQueue() {
		this.queue.clear();
		this.queuedBytes = 0;
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private record Waiting(long since, Slice slice, byte[] content) {
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
			channel.pipeline().addLast(new IdleStateHandler(KEEP_ALIVE_MILLISECONDS, 0, 0, TimeUnit.MILLISECONDS));
			LinkFrames.addHandshakeCodecs(channel.pipeline());
			channel.pipeline().addLast(this.handler);
		}

	}

}
