package org.wigeonmast.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wigeonmast.cli.demo.DemoFleet.DemoDaemon;
import org.wigeonmast.cli.standin.StandInBackendServer;

/**
 * Observer of the ejections that each daemon follows. Changes are printed.
 * <p>
 * Thread safety: usable from any thread.
 */
final class DemoObserver implements AutoCloseable {

	/** Interval between two polls of the daemons. */
	private static final long POLL_INTERVAL_MS = 20;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("demo-observer").daemon().factory());

	private final Map<String, List<String>> ejectedByDaemon = new HashMap<>();

	private final DemoFleet fleet;

	private final Consumer<String> output;

	private int maxEjectedCount;

	DemoObserver(DemoFleet fleet, Consumer<String> output) {
		this.fleet = fleet;
		this.output = output;
	}

	void start() {
		this.timer.scheduleAtFixedRate(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the names of the servers that at least one daemon has ejected at the
	 * moment.
	 * @return the names
	 */
	synchronized List<String> ejectedAnywhere() {
		return this.ejectedByDaemon.values().stream().flatMap(List::stream).distinct().sorted().toList();
	}

	/**
	 * Returns the maximum number of servers that were ejected at once, counted over all
	 * daemons together.
	 * @return the number of servers
	 */
	synchronized int maxEjectedCount() {
		return this.maxEjectedCount;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private synchronized void poll() {
		for (DemoDaemon daemon : this.fleet.daemons()) {
			List<String> ejected = new ArrayList<>();
			for (StandInBackendServer server : this.fleet.servers()) {
				if (daemon.isEjected(server)) {
					ejected.add(server.name());
				}
			}
			List<String> previous = this.ejectedByDaemon.put(daemon.name(), ejected);
			if (!ejected.equals((previous != null) ? previous : List.of())) {
				this.output.accept(daemon.name() + (ejected.isEmpty() ? " follows no ejection"
						: " follows the ejection of " + String.join(" and ", ejected)));
			}
		}
		this.maxEjectedCount = Math.max(this.maxEjectedCount, ejectedAnywhere().size());
	}

}
