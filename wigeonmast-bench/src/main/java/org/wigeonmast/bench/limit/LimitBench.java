package org.wigeonmast.bench.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import org.wigeonmast.bench.Bench;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.testing.EventQueue;

/**
 * Compares two ways to hold a limit over the fleet in virtual time.
 * <p>
 * Thread safety: none.
 */
public final class LimitBench implements Bench {

	private static final int DAEMONS = 36;

	private static final long MILLISECOND = 1000;

	private static final int SECONDS = 30;

	private static final int REPLACED_AT = 15;

	private static final int WARM_UP = 3;

	private static final long DELAY = 10 * MILLISECOND;

	@Override
	public String name() {
		return "limit";
	}

	@Override
	public String description() {
		return "limits over the fleet: leased shares and counts merged by maximum (--seeds N)";
	}

	@Override
	public int run(String[] arguments) {
		int seeds = (arguments.length == 2) ? Integer.parseInt(arguments[1]) : 20;
		System.out.println("median (worst) over seeds: overshoot of the worst second | under-use | messages/s"
				+ " | overshoot while all daemons are replaced in turn");
		for (long limit : new long[] { 20, 500 }) {
			for (double load : new double[] { 0.8, 3 }) {
				for (boolean skewed : new boolean[] { false, true }) {
					for (boolean leased : new boolean[] { true, false }) {
						row(new Setup(limit, load, skewed, leased), seeds);
					}
				}
			}
		}
		return 0;
	}

	private void row(Setup setup, int seeds) {
		double[][] figures = new double[4][seeds];
		for (int seed = 0; seed < seeds; seed++) {
			double[] run = new Run(setup, seed + 1).run();
			for (int i = 0; i < run.length; i++) {
				figures[i][seed] = run[i];
			}
		}
		StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "limit %d/s load %.1f %s %-14s", setup.limit,
				setup.load, setup.skewed ? "skewed" : "even", setup.leased ? "leased shares" : "merged counts"));
		for (double[] figure : figures) {
			Arrays.sort(figure);
			line.append(String.format(Locale.ROOT, " | %.3g (%.3g)", figure[(seeds - 1) / 2], figure[seeds - 1]));
		}
		System.out.println(line);
	}

	private record Setup(long limit, double load, boolean skewed, boolean leased) {
	}

	private static final class Run {

		private final EventQueue queue = new EventQueue();

		private final List<LimitPolicy> daemons = new ArrayList<>();

		private final List<DaemonId> live = new ArrayList<>();

		private final long[] admitted = new long[SECONDS];

		private final long[] offered = new long[SECONDS];

		private final Setup setup;

		private final Random random;

		private long messages;

		private Run(Setup setup, long seed) {
			this.setup = setup;
			this.random = new Random(seed);
			for (int i = 0; i < DAEMONS; i++) {
				this.live.add(new DaemonId("daemon-" + i, 1));
			}
			this.live.forEach((id) -> this.daemons.add(policy(id)));
		}

		private double[] run() {
			arrive();
			tick();
			for (int i = 0; i < DAEMONS; i++) {
				int index = i;
				this.queue.schedule(REPLACED_AT * 1000 * MILLISECOND + i * 200 * MILLISECOND,
						() -> this.daemons.set(index, policy(this.live.get(index))));
			}
			this.queue.runUntil(SECONDS * 1000 * MILLISECOND - 1);
			double worst = 0;
			double used = 0;
			double usable = 0;
			double worstReplacing = 0;
			for (int second = WARM_UP; second < SECONDS; second++) {
				double over = this.admitted[second] / (double) this.setup.limit - 1;
				if (second < REPLACED_AT) {
					worst = Math.max(worst, over);
					used += this.admitted[second];
					usable += Math.min(this.setup.limit, this.offered[second]);
				}
				else {
					worstReplacing = Math.max(worstReplacing, over);
				}
			}
			return new double[] { worst, 1 - used / usable, this.messages / (double) SECONDS, worstReplacing };
		}

		private LimitPolicy policy(DaemonId id) {
			int index = this.live.indexOf(id);
			return this.setup.leased
					? new LimitPolicy.LeasedShares(id, this.live, this.setup.limit,
							(receiver, message) -> send(index, receiver, message))
					: new LimitPolicy.MergedCounts(id, this.live, this.setup.limit, this.random,
							(receiver, message) -> send(index, receiver, message));
		}

		private void send(int sender, DaemonId receiver, Object message) {
			this.messages++;
			this.queue.schedule(DELAY, () -> this.daemons.get(this.live.indexOf(receiver))
				.receive(this.queue.milliseconds(), this.live.get(sender), message));
		}

		private void arrive() {
			double rate = this.setup.limit * this.setup.load / 1_000_000;
			long gap = Math.max(1, Math.round(-Math.log(1 - this.random.nextDouble()) / rate));
			this.queue.schedule(gap, () -> {
				int second = (int) (this.queue.milliseconds() / 1000);
				double point = this.random.nextDouble();
				int daemon = (int) (DAEMONS * (this.setup.skewed ? point * point * point : point));
				this.offered[second]++;
				if (this.daemons.get(daemon).admit(this.queue.milliseconds())) {
					this.admitted[second]++;
				}
				arrive();
			});
		}

		private void tick() {
			this.daemons.forEach((daemon) -> daemon.tick(this.queue.milliseconds()));
			this.queue.schedule(10 * MILLISECOND, this::tick);
		}

	}

}
