package org.wigeonmast.daemon.balanced;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.balance.peer.PeerMessage;
import org.wigeonmast.balance.peer.PeerMessageCodec;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * UDP endpoint for messages between peers.
 * <p>
 * Thread safety: usable from any thread; received messages are delivered on the event
 * loop.
 */
final class PeerDatagrams implements AutoCloseable {

	private final EventLog log = new EventLog(PeerDatagrams.class);

	private final EventLoopGroup group;

	private final HostAddress address;

	private final Consumer<PeerMessage> receiver;

	private volatile @Nullable Channel channel;

	PeerDatagrams(EventLoopGroup group, HostAddress address, Consumer<PeerMessage> receiver) {
		this.group = group;
		this.address = address;
		this.receiver = receiver;
	}

	void start() throws DatagramStartException {
		try {
			this.channel = new Bootstrap().group(this.group)
				.channel(NioDatagramChannel.class)
				.handler(new Handler())
				.bind(new InetSocketAddress(this.address.address(), this.address.port()))
				.syncUninterruptibly()
				.channel();
		}
		catch (Exception exception) {
			throw new DatagramStartException(this.address, exception);
		}
	}

	/**
	 * Sends a message without guarantee of delivery; does nothing before the start.
	 * @param to the receiver
	 * @param message the message
	 */
	void send(HostAddress to, PeerMessage message) {
		Channel open = this.channel;
		if (open != null) {
			open.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(PeerMessageCodec.encode(message)),
					new InetSocketAddress(to.address(), to.port())));
		}
	}

	@Override
	public void close() {
		Channel open = this.channel;
		if (open != null) {
			open.close();
		}
	}

	/** Thrown if the socket for peer datagrams cannot be opened. */
	static final class DatagramStartException extends WigeonmastException {

		private DatagramStartException(HostAddress address, Exception cause) {
			super(Step.START, address.toString(), "cannot open the UDP socket for peers", cause);
		}

	}

	/** Decodes datagrams and passes them to the receiver. */
	private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			byte[] bytes = ByteBufUtil.getBytes(packet.content());
			try {
				PeerDatagrams.this.receiver.accept(PeerMessageCodec.decode(bytes));
			}
			catch (IOException exception) {
				PeerDatagrams.this.log.log(BalanceEvent.DATAGRAM_INVALID, bytes.length, packet.sender(),
						exception.getMessage());
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A refused or unreachable destination affects one datagram only; the peer
			// table removes peers that stay unreachable.
			PeerDatagrams.this.log.log(BalanceEvent.DATAGRAM_INVALID, 0, "the socket", cause.getMessage());
		}

	}

}
