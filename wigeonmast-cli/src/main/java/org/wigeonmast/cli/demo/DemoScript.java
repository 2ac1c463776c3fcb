package org.wigeonmast.cli.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.wigeonmast.cli.AuditCommand;
import org.wigeonmast.cli.demo.DemoFleet.DemoDaemon;
import org.wigeonmast.cli.standin.ServerFaults;
import org.wigeonmast.cli.standin.StandInBackendServer;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.WigeonmastException;

/**
 * Scripted run of the demo: starts a fleet and load, injects faults, changes the
 * manifest, stops a daemon and checks the guarantees.
 * <p>
 * Thread safety: none; one thread runs it.
 */
public final class DemoScript implements AutoCloseable {

	private static final long SEED = 1;

	private static final int SLOWDOWN_FACTOR = 10;

	private static final double FAILURE_SHARE = 0.5;

	/** The timeouts are upper limits: a wait ends as soon as its condition is met. */
	private static final long START_TIMEOUT_MS = 15_000;

	private static final long HEALTHY_PHASE_MS = 4_000;

	private static final long EJECTION_TIMEOUT_MS = 6_000;

	private static final long FAULT_PHASE_MS = 3_000;

	private static final long RETURN_TIMEOUT_MS = 15_000;

	private static final long MANIFEST_TIMEOUT_MS = 8_000;

	private static final long STOP_TIMEOUT_MS = 10_000;

	private static final long POLL_INTERVAL_MS = 20;

	private final MillisecondClock clock = MillisecondClock.system();

	private final List<Phase> phases = new ArrayList<>();

	private final PrintStream out;

	private final DemoFleet fleet;

	private final DemoObserver observer;

	private final DemoLoadGenerator load;

	private final DemoChecks checks;

	private final long startMs;

	/**
	 * Creates a script with its own fleet.
	 * @param out the stream for progress and results
	 * @throws InterruptedException if the thread is interrupted
	 */
	public DemoScript(PrintStream out) throws InterruptedException {
		this.out = out;
		this.startMs = this.clock.milliseconds();
		this.fleet = new DemoFleet(SEED);
		this.observer = new DemoObserver(this.fleet, this::printProgress);
		this.load = new DemoLoadGenerator(this.fleet.daemons());
		this.checks = new DemoChecks(out);
	}

	/**
	 * Runs the script.
	 * @return whether every guarantee held
	 * @throws WigeonmastException if a daemon cannot start
	 * @throws IOException if there is no free port
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean run() throws WigeonmastException, IOException, InterruptedException {
		this.fleet.start();
		long readyAfterMs = await(START_TIMEOUT_MS,
				() -> this.fleet.daemons().stream().allMatch((d) -> d.daemon().isReady()));
		printProgress("3 daemons and 3 backend servers run; ready after " + readyAfterMs + " ms");
		StringBuilder command = new StringBuilder("meanwhile try: bin/wigeonmast explain rota-2");
		this.fleet.daemons().forEach((daemon) -> command.append(" --admin ").append(daemon.adminAddress()));
		printProgress(command.toString());
		this.observer.start();
		this.load.start();
		beginPhase("all healthy");
		Thread.sleep(HEALTHY_PHASE_MS);
		boolean falseEjection = !this.observer.ejectedAnywhere().isEmpty();
		long ejectedAfterMs = injectGrayFailure();
		long returnedAfterMs = healServer();
		long manifestAfterMs = changeManifest();
		long stoppedAfterMs = stopOneDaemon();
		this.load.finish();
		printReport();
		this.checks.check(readyAfterMs >= 0, "all daemons became ready");
		this.checks.check(!falseEjection, "no healthy backend server was ejected");
		this.checks.check(ejectedAfterMs >= 0, "the gray backend server was ejected, after " + ejectedAfterMs + " ms");
		this.checks.check(ejectedAfterMs >= 0 && returnedAfterMs >= 0,
				"the recovered backend server returned, after " + returnedAfterMs + " ms");
		this.checks.check(this.observer.maxEjectedCount() <= this.fleet.servers().size() - DemoManifest.FLOOR,
				"at most " + this.observer.maxEjectedCount() + " of 3 servers were ejected at once, with a floor of 2");
		this.checks.check(manifestAfterMs >= 0,
				"the new manifest was in force on all daemons, after " + manifestAfterMs + " ms");
		this.checks.check(stoppedAfterMs >= 0, "the planned stop ended, after " + stoppedAfterMs + " ms");
		this.checks.checkRequests(this.load.sentCount(), this.load.completedRequests(), this.fleet.runCounts());
		return this.checks.allPassed();
	}

	@Override
	public void close() {
		this.load.close();
		this.observer.close();
		this.fleet.close();
	}

	private long injectGrayFailure() throws InterruptedException {
		StandInBackendServer gray = this.fleet.servers().get(1);
		beginPhase(
				gray.name() + " is " + SLOWDOWN_FACTOR + " times slower, its health endpoint says that it is healthy");
		gray.setFaults(ServerFaults.none().withSlowdown(SLOWDOWN_FACTOR));
		long ejectedAfterMs = await(EJECTION_TIMEOUT_MS,
				() -> this.fleet.daemons().stream().allMatch((daemon) -> daemon.isEjected(gray)));
		Thread.sleep(FAULT_PHASE_MS);
		beginPhase(gray.name() + " answers at normal speed and fails half its work");
		gray.setFaults(ServerFaults.none().withFailureShare(FAILURE_SHARE));
		Thread.sleep(FAULT_PHASE_MS);
		return ejectedAfterMs;
	}

	private long healServer() throws InterruptedException {
		StandInBackendServer gray = this.fleet.servers().get(1);
		beginPhase(gray.name() + " is healthy again");
		gray.setFaults(ServerFaults.none());
		return await(RETURN_TIMEOUT_MS, () -> this.observer.ejectedAnywhere().isEmpty());
	}

	private long changeManifest() throws InterruptedException {
		beginPhase("a manifest with a new route is published");
		this.fleet.publishSecondManifest();
		return await(MANIFEST_TIMEOUT_MS,
				() -> this.fleet.daemons()
					.stream()
					.allMatch((daemon) -> this.load.probe(daemon, DemoManifest.NEWS_PATH) == 200));
	}

	private long stopOneDaemon() throws InterruptedException {
		DemoDaemon leaving = this.fleet.daemons().getLast();
		beginPhase(leaving.name() + " is stopped under load");
		CompletableFuture<Void> stopped = leaving.daemon().stop();
		long time = await(STOP_TIMEOUT_MS, stopped::isDone);
		Thread.sleep(FAULT_PHASE_MS);
		return time;
	}

	private void printReport() {
		this.out.println();
		this.out.println("Requests by the time of sending:");
		for (int i = 0; i < this.phases.size(); i++) {
			long from = this.phases.get(i).startMs();
			long to = (i + 1 < this.phases.size()) ? this.phases.get(i + 1).startMs() : Long.MAX_VALUE;
			this.checks.printSummary(this.phases.get(i).name(),
					this.load.completedRequests()
						.stream()
						.filter((call) -> call.sentAtMs() >= from && call.sentAtMs() < to)
						.toList());
		}
		this.out.println();
		this.out.println("Decisions, from the audit trails:");
		AuditCommand audit = new AuditCommand(this.out, this.out);
		this.fleet.daemons().subList(0, 2).forEach((daemon) -> audit.addAdmin(daemon.adminAddress()));
		try {
			audit.call();
		}
		catch (Exception exception) {
			this.checks.check(false, "the audit trails could be read: " + exception.getMessage());
		}
		this.out.println();
		this.out.println("Guarantees:");
	}

	private void beginPhase(String phase) {
		this.phases.add(new Phase(phase, this.clock.milliseconds()));
		printProgress(phase);
	}

	private void printProgress(String event) {
		this.out.printf("%6.2f s  %s%n", (this.clock.milliseconds() - this.startMs) / 1_000.0, event);
	}

	private long await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
		long begin = this.clock.milliseconds();
		while (!condition.getAsBoolean()) {
			if (this.clock.milliseconds() - begin > timeoutMs) {
				return -1;
			}
			Thread.sleep(POLL_INTERVAL_MS);
		}
		return this.clock.milliseconds() - begin;
	}

	private record Phase(String name, long startMs) {
	}

}
