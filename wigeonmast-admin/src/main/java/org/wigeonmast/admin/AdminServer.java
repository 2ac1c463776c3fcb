package org.wigeonmast.admin;

import java.util.List;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import org.wigeonmast.admin.internal.AdminApplication;
import org.wigeonmast.admin.internal.AdminNettyServer;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;

/**
 * HTTP server of a daemon's admin interface.
 * <p>
 * Thread safety: usable from any thread. Invariants: requests only read state; worker
 * threads wait for the control thread for a bounded time, and the control thread never
 * waits for them.
 */
public final class AdminServer implements AutoCloseable {

	private static final int MAX_REQUEST_BYTES = 8 * 1024;

	private static final int WORKER_THREADS = 4;

	private final EventLog log = new EventLog(AdminServer.class);

	private final HostAddress address;

	private final Server server;

	/**
	 * Starts the server.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param sources the sources of the data to serve
	 * @throws AdminStartException if the address cannot be used
	 */
	public AdminServer(HostAddress address, AdminSources sources) throws AdminStartException {
		ServerOptions options = new ServerOptions();
		options.setHost(address.address());
		options.setPort(address.port());
		options.setIoThreads(1);
		options.setWorkerThreads(WORKER_THREADS);
		options.setMaxRequestSize(MAX_REQUEST_BYTES);
		options.setDefaultHeaders(false);
		Jooby application = new AdminApplication(sources);
		application.setExecutionMode(ExecutionMode.WORKER);
		application.setStartupSummary(List.of(StartupSummary.NONE));
		this.server = new AdminNettyServer().setOptions(options);
		try {
			this.server.start(application);
		}
		catch (Exception exception) {
			// Jooby throws checked exceptions, such as BindException, without declaring
			// them.
			this.server.stop();
			throw new AdminStartException(address, exception);
		}
		this.address = new HostAddress(address.address(), options.getPort());
		this.log.log(AdminEvent.LISTENING, this.address);
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address with the actual port
	 */
	public HostAddress address() {
		return this.address;
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
