package org.wigeonmast.manifest.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.HostAddress;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a daemon that reverts to an older manifest, or that becomes ready with
 * an older one than a majority of its region had accepted before it started.
 */
class ManifestFollowerPropertyTests {

	private static final int DAEMONS = 5;

	@Property(tries = 300, seed = "20261204")
	void neverRevertsAndIsReadyOnlyWithTheMajorityVersion(@ForAll @IntRange(max = 1_000_000) int seed,
			@ForAll @Size(min = 5, max = 40) List<@IntRange(max = 999) Integer> steps) {
		FollowerSimulation simulation = run(seed, steps, (follower) -> follower);
		assertThat(simulation.violations).isEmpty();
	}

	@Property(tries = 100, seed = "20261204")
	void convergesAfterFaultsEnd(@ForAll @IntRange(max = 1_000_000) int seed,
			@ForAll @Size(min = 5, max = 40) List<@IntRange(max = 999) Integer> steps) {
		FollowerSimulation simulation = run(seed, steps, (follower) -> follower);
		simulation.network.heal();
		simulation.network.setLoss(0);
		simulation.publish();
		simulation.run(8000);
		for (FollowerSimulation.Daemon daemon : simulation.daemons) {
			assertThat(daemon.isReady()).isTrue();
			assertThat(daemon.version()).isEqualTo(simulation.daemons.getFirst().version());
		}
	}

	@Test
	void detectsFollowerThatReappliesAManifest() {
		assertThat(violationsOf(ReapplyingFollower::new)).contains("went from");
	}

	@Test
	void detectsFollowerThatIsReadyWithoutQuerying() {
		assertThat(violationsOf(PrematurelyReadyFollower::new)).contains("is ready with");
	}

	private static String violationsOf(FollowerSimulation.FollowerFactory factory) {
		List<String> violations = new ArrayList<>();
		Random random = new Random(4);
		for (int seed = 0; seed < 100; seed++) {
			List<Integer> steps = random.ints(40, 0, 1000).boxed().toList();
			violations.addAll(run(seed, steps, factory).violations);
		}
		return String.join("\n", violations);
	}

	@Test
	void randomStepsReachTheReadinessCheck() {
		Random random = new Random(4);
		int checks = 0;
		for (int seed = 0; seed < 100; seed++) {
			checks += run(seed, random.ints(40, 0, 1000).boxed().toList(), (follower) -> follower).readinessChecks();
		}
		assertThat(checks).isAtLeast(100);
	}

	private static FollowerSimulation run(int seed, List<Integer> steps, FollowerSimulation.FollowerFactory factory) {
		FollowerSimulation simulation = new FollowerSimulation(seed, DAEMONS, factory);
		simulation.network.setLoss(0.1);
		simulation.network.setDuplication(0.1);
		simulation.network.setJitter(400_000);
		simulation.run(3000);
		for (int step : steps) {
			int position = (step / 10) % DAEMONS;
			FollowerSimulation.Daemon daemon = simulation.daemons.get(position);
			switch (step % 10) {
				case 0, 1 -> simulation.publish();
				case 2, 3, 4 -> daemon.start();
				case 5 -> simulation.serveStale(step / 50);
				case 6 -> simulation.network
					.setCutCondition((from, to) -> isOnFirstSide(from, step) != isOnFirstSide(to, step));
				case 7 -> simulation.network
					.setCutCondition((from, to) -> isOnFirstSide(from, step) && !isOnFirstSide(to, step));
				case 8 -> simulation.network.heal();
				default -> daemon.resume();
			}
			simulation.run(50 + 10L * (step % 300));
		}
		return simulation;
	}

	private static boolean isOnFirstSide(HostAddress address, int step) {
		int host = Integer.parseInt(address.address().substring(address.address().lastIndexOf('.') + 1));
		return ((step / 10) >> (host - 1) & 1) == 1;
	}

	/** Deliberately faulty: applies the first accepted manifest again later. */
	private static final class ReapplyingFollower extends DelegatingFollower {

		private ManifestFollowerEffect first;

		private int applied;

		ReapplyingFollower(ManifestFollower follower) {
			super(follower);
		}

		@Override
		List<ManifestFollowerEffect> alterEffects(List<ManifestFollowerEffect> effects) {
			List<ManifestFollowerEffect> altered = new ArrayList<>(effects);
			for (ManifestFollowerEffect effect : effects) {
				if (effect instanceof ManifestFollowerEffect.Apply) {
					this.first = (this.first != null) ? this.first : effect;
					if (++this.applied == 2) {
						altered.add(this.first);
					}
				}
			}
			return altered;
		}

	}

	/** Deliberately faulty: becomes ready as soon as it has any manifest. */
	private static final class PrematurelyReadyFollower extends DelegatingFollower {

		private boolean ready;

		PrematurelyReadyFollower(ManifestFollower follower) {
			super(follower);
		}

		@Override
		List<ManifestFollowerEffect> alterEffects(List<ManifestFollowerEffect> effects) {
			List<ManifestFollowerEffect> altered = new ArrayList<>(effects);
			altered.removeIf((effect) -> effect instanceof ManifestFollowerEffect.ReadinessChanged);
			if (!this.ready && effects.stream().anyMatch((effect) -> effect instanceof ManifestFollowerEffect.Apply)) {
				this.ready = true;
				altered.add(new ManifestFollowerEffect.ReadinessChanged(true));
			}
			return altered;
		}

	}

	private abstract static class DelegatingFollower
			implements Component<ManifestFollowerInput, ManifestFollowerEffect> {

		private final ManifestFollower follower;

		DelegatingFollower(ManifestFollower follower) {
			this.follower = follower;
		}

		abstract List<ManifestFollowerEffect> alterEffects(List<ManifestFollowerEffect> effects);

		@Override
		public List<ManifestFollowerEffect> handle(long now, ManifestFollowerInput message) {
			return alterEffects(this.follower.handle(now, message));
		}

		@Override
		public List<ManifestFollowerEffect> tick(long now) {
			return alterEffects(this.follower.tick(now));
		}

		@Override
		public long nextTick() {
			return this.follower.nextTick();
		}

	}

}
