package org.wigeonmast.proxy.internal;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.NetUtil;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyEvent;

/**
 * Connection pool for all backend servers.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: the open connections to a
 * server, including those being established, never exceed this daemon's share of the
 * server's connection limit, or 1 if the share is smaller; an idle connection has no
 * outstanding response.
 */
final class BackendPool {

	private static final EventLog LOG = new EventLog(BackendPool.class);

	private final Supplier<ProxyConfiguration> configuration;

	private final MillisecondClock clock;

	private final IntSupplier liveDaemons;

	private final ProxyMetrics metrics;

	private final Bootstrap bootstrap;

	private final Map<HostAddress, ServerConnections> servers = new HashMap<>();

	BackendPool(Supplier<ProxyConfiguration> configuration, MillisecondClock clock, IntSupplier liveDaemons,
			EventLoop eventLoop, ProxyMetrics metrics) {
		this.metrics = metrics;
		this.configuration = configuration;
		this.clock = clock;
		this.liveDaemons = liveDaemons;
		int unsentBytes = configuration.get().limits().unsentBytes();
		this.bootstrap = new Bootstrap().group(eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) configuration.get().timeouts().connect())
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(unsentBytes / 2, unsentBytes));
	}

	/**
	 * Provides a connection to an attempt, at once or after connecting.
	 * @param server the server
	 * @param requirement whether an idle connection must be proven
	 * @param attempt the attempt, whose {@link Attempt#onConnected} or
	 * {@link Attempt#onConnectFailed} is called
	 */
	void acquire(BackendServer server, ConnectionRequirement requirement, Attempt attempt) {
		ServerConnections connections = this.servers.computeIfAbsent(server.address(),
				(address) -> new ServerConnections());
		BackendConnection idle = takeIdle(connections, requirement, attempt);
		if (idle != null) {
			attempt.onConnected(idle);
			return;
		}
		int maxConnections = Math.max(1, connectionShare(server));
		if (connections.open >= maxConnections) {
			BackendConnection oldest = connections.idle.pollFirst();
			if (oldest == null) {
				LOG.log(ProxyEvent.CONNECTIONS_USED_UP, maxConnections, server.id());
				attempt.onConnectFailed("All " + maxConnections + " connections to " + server.id() + " are in use");
				return;
			}
			oldest.close();
		}
		connect(server, connections, attempt);
	}

	/**
	 * Returns a connection to the pool whose last response is complete, or that was not
	 * used.
	 * @param server the server
	 * @param connection the connection
	 */
	void release(BackendServer server, BackendConnection connection) {
		connection.detach();
		ServerConnections connections = this.servers.get(server.address());
		int share = connectionShare(server);
		// A daemon whose share is below one connection closes it after each request, so
		// that daemons take turns.
		if (connections == null || share < 1 || connections.open > share || !connection.isActive()) {
			connection.close();
			return;
		}
		connections.idle.addLast(connection);
		connection.requestNext();
	}

	/**
	 * Closes connections that exceeded the idle timeout.
	 * @param now the current monotonic time in milliseconds
	 */
	void closeIdle(long now) {
		long oldest = now - this.configuration.get().timeouts().backendIdle();
		Iterator<ServerConnections> all = this.servers.values().iterator();
		while (all.hasNext()) {
			ServerConnections connections = all.next();
			BackendConnection first = connections.idle.peekFirst();
			while (first != null && first.lastProven() <= oldest) {
				connections.idle.removeFirst();
				first.close();
				first = connections.idle.peekFirst();
			}
			if (connections.open == 0) {
				all.remove();
			}
		}
	}

	/** Closes all idle connections. */
	void closeIdle() {
		closeIdle(Long.MAX_VALUE);
	}

	private int connectionShare(BackendServer server) {
		return server.connections() / Math.max(1, this.liveDaemons.getAsInt());
	}

	private @Nullable BackendConnection takeIdle(ServerConnections connections, ConnectionRequirement requirement,
			Attempt attempt) {
		long now = this.clock.milliseconds();
		Iterator<BackendConnection> newestFirst = connections.idle.descendingIterator();
		while (newestFirst.hasNext()) {
			BackendConnection candidate = newestFirst.next();
			if (!candidate.isUsable(now)) {
				newestFirst.remove();
				candidate.close();
			}
			else if (requirement == ConnectionRequirement.PROVEN
					&& now - candidate.lastProven() > this.configuration.get().timeouts().proven()) {
				return null;
			}
			else if (!attempt.mayConfuseResponses(candidate)) {
				newestFirst.remove();
				return candidate;
			}
		}
		return null;
	}

	private void connect(BackendServer server, ServerConnections connections, Attempt attempt) {
		byte[] address = NetUtil.createByteArrayFromIpAddressString(server.address().address());
		if (address == null) {
			attempt.onConnectFailed(server.address() + " is no IP address");
			return;
		}
		BackendResponseDecoder decoder = new BackendResponseDecoder(this.configuration.get().limits());
		BackendConnection connection = new BackendConnection(decoder);
		ChannelFuture connecting = this.bootstrap.clone()
			.handler(new Initializer(decoder, connection))
			.connect(new InetSocketAddress(inetAddress(address), server.address().port()));
		connections.open++;
		this.metrics.addBackendConnections(1);
		connecting.channel().closeFuture().addListener((closed) -> {
			connections.open--;
			this.metrics.addBackendConnections(-1);
			connections.idle.remove(connection);
		});
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				connection.setLastProven(this.clock.milliseconds());
				attempt.onConnected(connection);
			}
			else {
				attempt.onConnectFailed("Connecting failed: " + future.cause().getMessage());
			}
		});
	}

	private static InetAddress inetAddress(byte[] address) {
		try {
			return InetAddress.getByAddress(address);
		}
		catch (UnknownHostException exception) {
			throw new IllegalStateException("An IP address has 4 or 16 bytes", exception);
		}
	}

	/** Connections to one server; idle ones are in the order of their last use. */
	private static final class ServerConnections {

		private final Deque<BackendConnection> idle = new ArrayDeque<>();

		private int open;

	}

	/** Sets up the handlers of a new connection. */
	private static final class Initializer extends ChannelInitializer<SocketChannel> {

		private final BackendResponseDecoder decoder;

		private final BackendConnection connection;

		private Initializer(BackendResponseDecoder decoder, BackendConnection connection) {
			this.decoder = decoder;
			this.connection = connection;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline().addLast(new HttpRequestEncoder(), this.decoder, this.connection);
		}

	}

}
