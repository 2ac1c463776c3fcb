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
 * Watches which backend servers the daemons have ejected.
 * <p>
 * Thread safety: usable from any thread.
 */
final class DemoObserver implements AutoCloseable {

	/** Time between two looks in milliseconds. */
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
	 * Returns the names of the servers that some daemon has ejected now.
	 * @return the names
	 */
	synchronized List<String> ejectedAnywhere() {
		return this.ejectedByDaemon.values().stream().flatMap(List::stream).distinct().sorted().toList();
	}

	/**
	 * Returns the greatest number of servers that were ejected at once, over all daemons
	 * together.
	 * @return the number
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
			List<String> before = this.ejectedByDaemon.put(daemon.name(), ejected);
			if (!ejected.equals((before != null) ? before : List.of())) {
				this.output.accept(daemon.name() + (ejected.isEmpty() ? " follows no ejection"
						: " follows the ejection of " + String.join(" and ", ejected)));
			}
		}
		this.maxEjectedCount = Math.max(this.maxEjectedCount, ejectedAnywhere().size());
	}

}
