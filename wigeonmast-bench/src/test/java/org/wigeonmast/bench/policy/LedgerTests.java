package org.wigeonmast.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.CoordinatorInput;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.QueueOrder;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that the ledger of the policy bench notices broken coordinators.
 */
class LedgerTests {

	/** Gray servers slow enough that work on them times out. */
	private static final Scenario SCENARIO = new Scenario("gray", 4, 2, 1000, 0.8, 0, 0, 100, 5 * Scenario.SECOND,
			QueueOrder.FIRST_IN_FIRST_OUT);

	/** Guards against a bench that reports violations of a correct coordinator. */
	@Test
	void correctCoordinatorHasNoViolation() {
		assertThat(new FleetSimulation(SCENARIO, Policy.HYBRID, 1).run().violations).isEmpty();
	}

	/** Guards against an oracle that misses second runs. */
	@Test
	void resentRequestIsNoticed() {
		RunResult result = new FleetSimulation(SCENARIO, Policy.HYBRID, 1, ResendingCoordinator::new).run();
		assertThat(String.join("\n", result.violations)).contains("times but is not idempotent");
	}

	/** Guards against an oracle that misses false refusals. */
	@Test
	void falseRefusalIsNoticed() {
		RunResult result = new FleetSimulation(SCENARIO, Policy.HYBRID, 1, FalselyRefusingCoordinator::new).run();
		assertThat(String.join("\n", result.violations)).contains("was refused as not run but ran");
	}

	/** Guards against an oracle that misses requests that never end. */
	@Test
	void lostRequestIsNoticed() {
		RunResult result = new FleetSimulation(SCENARIO, Policy.HYBRID, 1, ForgettingCoordinator::new).run();
		assertThat(String.join("\n", result.violations)).contains("did not end");
	}

	/** Takes an error answer for a sign that nothing was sent. */
	private record ResendingCoordinator(Component<CoordinatorInput, DispatchEffect> correct)
			implements
				Component<CoordinatorInput, DispatchEffect> {

		@Override
		public List<DispatchEffect> handle(long now, CoordinatorInput input) {
			if (input instanceof CoordinatorInput.ProxyReport proxied
					&& proxied.event() instanceof RequestEvent.AttemptProgress progress && progress.attempt() == 1
					&& progress.report() instanceof AttemptReport.ResponseStarted) {
				return this.correct.handle(now,
						new CoordinatorInput.ProxyReport(new RequestEvent.AttemptProgress(progress.request(), 1,
								new AttemptReport.NothingSent("wrong"))));
			}
			return this.correct.handle(now, input);
		}

		@Override
		public List<DispatchEffect> tick(long now) {
			return this.correct.tick(now);
		}

		@Override
		public long nextTick() {
			return this.correct.nextTick();
		}

	}

	/** Calls every unknown outcome not run. */
	private record FalselyRefusingCoordinator(Component<CoordinatorInput, DispatchEffect> correct)
			implements
				Component<CoordinatorInput, DispatchEffect> {

		@Override
		public List<DispatchEffect> handle(long now, CoordinatorInput input) {
			List<DispatchEffect> effects = new ArrayList<>(this.correct.handle(now, input));
			effects.replaceAll((effect) -> (effect instanceof DispatchEffect.Ended ended
					&& ended.outcome() instanceof RequestOutcome.Unknown)
							? new DispatchEffect.Ended(ended.request(), new RequestOutcome.NotRun("wrong", 0))
							: effect);
			return effects;
		}

		@Override
		public List<DispatchEffect> tick(long now) {
			return this.correct.tick(now);
		}

		@Override
		public long nextTick() {
			return this.correct.nextTick();
		}

	}

	/** Ignores broken attempts. */
	private record ForgettingCoordinator(Component<CoordinatorInput, DispatchEffect> correct)
			implements
				Component<CoordinatorInput, DispatchEffect> {

		@Override
		public List<DispatchEffect> handle(long now, CoordinatorInput input) {
			boolean broken = input instanceof CoordinatorInput.ProxyReport proxied
					&& proxied.event() instanceof RequestEvent.AttemptProgress progress
					&& progress.report() instanceof AttemptReport.Broken;
			return broken ? List.of() : this.correct.handle(now, input);
		}

		@Override
		public List<DispatchEffect> tick(long now) {
			return List.of();
		}

		@Override
		public long nextTick() {
			return NO_TIMER;
		}

	}

}
