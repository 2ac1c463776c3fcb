package org.wigeonmast.bench.detection;

import java.util.Arrays;

import org.wigeonmast.health.Observation;
import org.wigeonmast.health.Observation.Result;

/**
 * Ejection that each daemon decides alone: after failures in a row, or when the mean
 * latency of a server is an outlier.
 * <p>
 * Thread safety: none. Invariant: a daemon ejects at most half of the servers.
 */
final class BaselinePolicy implements Policy {

	private static final int FAILURES = 5;

	private static final double OUTLIER = 3;

	private static final int LEAST_SAMPLES = 5;

	private static final long WINDOW = 10_000;

	private static final long EJECTION = 10_000;

	private final Local[][] locals;

	private final int servers;

	private long nextWindow = WINDOW;

	private int ejections;

	BaselinePolicy(Setup setup) {
		this.servers = setup.servers();
		this.locals = new Local[Setup.DAEMONS][this.servers];
		for (Local[] row : this.locals) {
			Arrays.setAll(row, (server) -> new Local());
		}
	}

	@Override
	public void ended(long now, int daemon, int server, Observation observation) {
		Local local = this.locals[daemon][server];
		if (observation.result() == Result.SUCCEEDED) {
			local.failures = 0;
			local.sum += observation.duration();
			local.samples++;
		}
		else if (observation.result() != Result.SHED) {
			local.failures++;
			if (local.failures >= FAILURES) {
				eject(now, daemon, local);
			}
		}
	}

	@Override
	public void tick(long now, Iterable<SimulatedRequest> inFlight) {
		if (now < this.nextWindow) {
			return;
		}
		this.nextWindow = now + WINDOW;
		for (int daemon = 0; daemon < Setup.DAEMONS; daemon++) {
			double[] means = Arrays.stream(this.locals[daemon])
				.filter((local) -> local.samples >= LEAST_SAMPLES)
				.mapToDouble(Local::mean)
				.sorted()
				.toArray();
			for (Local local : this.locals[daemon]) {
				if (means.length > 2 && local.samples >= LEAST_SAMPLES
						&& local.mean() > OUTLIER * means[means.length / 2]) {
					eject(now, daemon, local);
				}
				local.sum = 0;
				local.samples = 0;
			}
		}
	}

	@Override
	public double weight(int daemon, int server) {
		return this.locals[daemon][server].ejected ? 0 : 1;
	}

	@Override
	public double ejectedShare(long now, int server) {
		int count = 0;
		for (Local[] row : this.locals) {
			for (Local local : row) {
				local.ejected = now < local.until;
			}
			count += row[server].ejected ? 1 : 0;
		}
		return (double) count / Setup.DAEMONS;
	}

	@Override
	public double ejections() {
		return (double) this.ejections / Setup.DAEMONS;
	}

	private void eject(long now, int daemon, Local local) {
		long ejected = Arrays.stream(this.locals[daemon]).filter((other) -> now < other.until).count();
		if (now >= local.until && ejected < this.servers / 2) {
			local.until = now + EJECTION;
			local.ejected = true;
			local.failures = 0;
			this.ejections++;
		}
	}

	/** What one daemon knows about one server. */
	private static final class Local {

		private int failures;

		private double sum;

		private int samples;

		private long until;

		private boolean ejected;

		private double mean() {
			return this.sum / this.samples;
		}

	}

}
