package org.wigeonmast.wire.internal;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.LinkCounts;
import org.wigeonmast.wire.LinkListenerException;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.MessageListener;
import org.wigeonmast.wire.PeerLinks;
import org.wigeonmast.wire.Slice;
import org.wigeonmast.wire.WireEvent;

/**
 * Implementation of {@link PeerLinks} over TCP with one event loop. Each daemon sends
 * messages only on the connections that it opened itself, so a broken connection affects
 * messages in one direction only.
 * <p>
 * Thread safety: usable from any thread.
 */
public final class NettyPeerLinks implements PeerLinks {

	private static final int EVENT_LOOPS = 1;

	private static final long CLOSE_TIMEOUT_MS = 500;

	private final LinkSettings settings;

	private final MessageListener listener;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOPS,
			new DefaultThreadFactory("links", true));

	private final ConcurrentMap<HostAddress, OutgoingLink> links = new ConcurrentHashMap<>();

	private final LongAdder messagesSent = new LongAdder();

	private final LongAdder bytesSent = new LongAdder();

	private final LongAdder messagesReceived = new LongAdder();

	private final LongAdder bytesReceived = new LongAdder();

	private final Channel server;

	private NettyPeerLinks(LinkSettings settings, MessageListener listener) throws LinkListenerException {
		this.listener = listener;
		this.server = bind(settings.address());
		InetSocketAddress bound = (InetSocketAddress) this.server.localAddress();
		// Peers connect to the announced address, so it must have the bound port, not 0.
		this.settings = new LinkSettings(settings.self(),
				new HostAddress(settings.address().address(), bound.getPort()), settings.key());
	}

	/**
	 * Opens the listener.
	 * @param settings the settings
	 * @param listener the listener for incoming messages
	 * @return the open links
	 * @throws LinkListenerException if the address cannot be bound
	 */
	public static NettyPeerLinks open(LinkSettings settings, MessageListener listener) throws LinkListenerException {
		NettyPeerLinks links = new NettyPeerLinks(settings, listener);
		new EventLog(NettyPeerLinks.class).log(WireEvent.LISTENING, links.address());
		return links;
	}

	@Override
	public HostAddress address() {
		return this.settings.address();
	}

	@Override
	public void send(HostAddress peer, Slice slice, byte[] content) {
		this.messagesSent.increment();
		this.bytesSent.add(content.length);
		this.links
			.computeIfAbsent(peer,
					(address) -> new OutgoingLink(this.settings, address, this.eventLoops.next(),
							(link) -> this.links.remove(address, link)))
			.send(slice, content);
	}

	@Override
	public LinkCounts counts() {
		return new LinkCounts(this.messagesSent.sum(), this.bytesSent.sum(), this.messagesReceived.sum(),
				this.bytesReceived.sum());
	}

	@Override
	public void close() {
		this.server.close();
		this.links.values().forEach(OutgoingLink::close);
		this.eventLoops.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private Channel bind(HostAddress address) throws LinkListenerException {
		ChannelFuture future = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new AcceptedLinkInitializer())
			.bind(address.address(), address.port())
			.awaitUninterruptibly();
		if (!future.isSuccess()) {
			this.eventLoops.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			throw new LinkListenerException(address.toString(), future.cause());
		}
		return future.channel();
	}

	private final class AcceptedLinkInitializer extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel channel) {
			channel.pipeline().addLast(new IdleStateHandler(OutgoingLink.READ_TIMEOUT_MS, 0, 0, TimeUnit.MILLISECONDS));
			LinkFrames.addHandshakeCodecs(channel.pipeline());
			channel.pipeline()
				.addLast(new AcceptedLinkHandler(NettyPeerLinks.this.settings, (from, address, slice, content) -> {
					NettyPeerLinks.this.messagesReceived.increment();
					NettyPeerLinks.this.bytesReceived.add(content.length);
					NettyPeerLinks.this.listener.onMessage(from, address, slice, content);
				}));
		}

	}

}
