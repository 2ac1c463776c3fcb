package org.wigeonmast.balance.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.core.BackendServerId;

/** Tests of {@link StateFollower}. */
class StateFollowerTests {

	private static final long MAX_CHANGE_DELAY_MS = 2500;

	private final StateFollower follower = new StateFollower(MAX_CHANGE_DELAY_MS,
			RandomGeneratorFactory.of("L64X128MixRandom").create(5));

	private long now;

	/** Guards against pauses that leave too little of the time for a change. */
	@Test
	void pauseBetweenWatchesTakesHalfTheTimeForAChange() {
		Truth.assertThat(pauseAfterChange(2500)).isEqualTo(1300);
		Truth.assertThat(pauseAfterChange(4000)).isEqualTo(2000);
	}

	private static long pauseAfterChange(long maxChangeDelay) {
		StateFollower follower = new StateFollower(maxChangeDelay,
				RandomGeneratorFactory.of("L64X128MixRandom").create(5));
		follower.handle(0, new StateFollowerInput.Started());
		follower.handle(0, new StateFollowerInput.ChangesReceived(List.of(), 7));
		return follower.nextTick();
	}

	/** Guards against readiness before the whole state is known. */
	@Test
	void isCompleteWithServersAndConfigurationOnly() {
		Truth.assertThat(this.follower.isComplete()).isFalse();
		handle(new StateFollowerInput.StateRead(new StateSnapshot(5, List.of(BalanceFixtures.server("a")), null)));
		Truth.assertThat(this.follower.isComplete()).isFalse();
		handle(new StateFollowerInput.ChangesReceived(
				List.of(new StateChange.ConfigurationPublished(BalanceFixtures.configuration(7))), 6));
		Truth.assertThat(this.follower.isComplete()).isTrue();
	}

	/** Guards against an outdated read that restores an older configuration. */
	@Test
	void configurationNeverFallsBack() {
		start(7);
		List<StateFollowerEffect> effects = handle(
				new StateFollowerInput.StateRead(new StateSnapshot(9, List.of(), BalanceFixtures.configuration(6))));
		Truth.assertThat(appliedConfigurations(effects)).isEmpty();
	}

	/** Guards against using a server that was removed without leaving first. */
	@Test
	void removedServerIsOutOfUseAtOnce() {
		start(1);
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11))))
			.isEqualTo(1);
	}

	/**
	 * Guards against dropping all servers when their records lapse in an outage of the
	 * store.
	 */
	@Test
	void recordThatLapsedDuringAnOutageMayComeBack() {
		start(1);
		handle(new StateFollowerInput.CallFailed("no answer"));
		this.now += 5000;
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11))))
			.isEqualTo(0);
		this.now += 1500;
		handle(new StateFollowerInput.ChangesReceived(
				List.of(new StateChange.ServerWritten(BalanceFixtures.server("a"))), 12));
		Truth.assertThat(countRemovals(tickUntil(this.now + 5000))).isEqualTo(0);
	}

	/** Guards against keeping a dead server for long after an outage of the store. */
	@Test
	void recordThatStaysAwayIsDroppedWithinTwoSeconds() {
		start(1);
		handle(new StateFollowerInput.CallFailed("no answer"));
		this.now += 5000;
		handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11));
		Truth.assertThat(countRemovals(tickUntil(this.now + StateFollower.LAPSE_GRACE_MS))).isEqualTo(1);
	}

	/**
	 * Guards against keeping a server, as if its record had lapsed, that left while only
	 * this daemon could not reach the store.
	 */
	@Test
	void recordIsDroppedAtOnceIfPeersReachedTheStoreMeanwhile() {
		start(1);
		handle(new StateFollowerInput.CallFailed("no answer"));
		for (int second = 0; second < 6; second++) {
			this.now += 1000;
			handle(new StateFollowerInput.PeerRevisionReceived(11, 300, 30_000));
		}
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11))))
			.isEqualTo(1);
	}

	/**
	 * Guards against the same if this daemon could not reach its peers either, and they
	 * report only afterwards that the store had no outage.
	 */
	@Test
	void recordIsDroppedWhenAPeerTellsThatTheStoreWasNeverAway() {
		start(1);
		handle(new StateFollowerInput.CallFailed("no answer"));
		this.now += 8000;
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11))))
			.isEqualTo(0);
		this.now += 200;
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.PeerRevisionReceived(11, 100, 9000))))
			.isEqualTo(1);
	}

	/**
	 * Guards against taking a peer that reconnected a little earlier as proof that the
	 * store had no outage.
	 */
	@Test
	void recordIsKeptIfThePeerLostTheStoreToo() {
		start(1);
		handle(new StateFollowerInput.CallFailed("no answer"));
		this.now += 8000;
		handle(new StateFollowerInput.ChangesReceived(List.of(removal()), 11));
		this.now += 200;
		Truth.assertThat(countRemovals(handle(new StateFollowerInput.PeerRevisionReceived(11, 100, 700)))).isEqualTo(0);
	}

	/** Guards against reporting a store as steady that was never reached. */
	@Test
	void storeThatWasNeverReachedIsNotSteady() {
		handle(new StateFollowerInput.Started());
		handle(new StateFollowerInput.CallFailed("no answer"));
		Truth.assertThat(this.follower.steadySince()).isGreaterThan(this.now);
	}

	/** Guards against noticing the end of an outage late. */
	@Test
	void lostStoreIsTriedAgainSoon() {
		start(1);
		for (int failure = 0; failure < 20; failure++) {
			handle(new StateFollowerInput.CallFailed("no answer"));
			Truth.assertThat(this.follower.nextTick()).isAtMost(this.now + 600);
			this.now = this.follower.nextTick();
			this.follower.tick(this.now);
		}
	}

	/** Guards against a watch that continues from dropped history. */
	@Test
	void droppedHistoryMakesItReadTheWholeState() {
		start(1);
		Truth.assertThat(handle(new StateFollowerInput.HistoryDropped())).contains(new StateFollowerEffect.ReadState());
	}

	/** Guards against a watch that cancels a read of the whole state in progress. */
	@Test
	void watchDoesNotReplaceTheReadAfterADroppedHistory() {
		start(1);
		handle(new StateFollowerInput.HistoryDropped());
		Truth.assertThat(tickUntil(this.now + 5000)).doesNotContain(new StateFollowerEffect.Watch(10));
	}

	/** Guards against waiting for a watch whose answer was lost. */
	@Test
	void peerThatIsAheadMakesItWatchAgain() {
		start(1);
		tickUntil(this.now + 1000);
		handle(new StateFollowerInput.PeerRevisionReceived(20, 0, 0));
		Truth.assertThat(tickUntil(this.now + 1000)).contains(new StateFollowerEffect.Watch(10));
	}

	/**
	 * Guards against using a leaving server because the answer of a watch was lost.
	 */
	@Test
	void watchThatNothingConfirmsIsStartedAgain() {
		start(1);
		long lostAt = this.now;
		List<StateFollowerEffect> effects = tickUntil(lostAt + 3000);
		Truth.assertThat(effects).contains(new StateFollowerEffect.Watch(10));
	}

	/** Guards against restarting a watch whose revision a peer has confirmed. */
	@Test
	void watchThatPeersConfirmGoesOn() {
		start(1);
		List<StateFollowerEffect> effects = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			effects.addAll(tickUntil(this.now + 1000));
			handle(new StateFollowerInput.PeerRevisionReceived(10, 500, 0));
		}
		Truth.assertThat(effects).doesNotContain(new StateFollowerEffect.Watch(10));
	}

	/** Guards against overloading the store with calls during an outage. */
	@Test
	void failedCallsAreRepeatedWithGrowingPauses() {
		start(1);
		long calls = 0;
		for (long end = this.now + 20_000; this.now < end;) {
			handle(new StateFollowerInput.CallFailed("no answer"));
			this.now = this.follower.nextTick();
			calls += this.follower.tick(this.now).stream().filter(StateFollowerEffect.Watch.class::isInstance).count();
		}
		Truth.assertThat(calls).isAtMost(50);
	}

	private void start(long version) {
		handle(new StateFollowerInput.StateRead(
				new StateSnapshot(10, List.of(BalanceFixtures.server("a")), BalanceFixtures.configuration(version))));
	}

	private static StateChange removal() {
		return new StateChange.ServerRemoved(new BackendServerId("a"));
	}

	private List<StateFollowerEffect> handle(StateFollowerInput input) {
		return this.follower.handle(this.now, input);
	}

	private List<StateFollowerEffect> tickUntil(long end) {
		List<StateFollowerEffect> effects = new ArrayList<>();
		while (this.follower.nextTick() <= end) {
			this.now = this.follower.nextTick();
			effects.addAll(this.follower.tick(this.now));
		}
		this.now = end;
		return effects;
	}

	private static List<FleetConfiguration> appliedConfigurations(List<StateFollowerEffect> effects) {
		return effects.stream()
			.filter(StateFollowerEffect.Apply.class::isInstance)
			.map((effect) -> ((StateFollowerEffect.Apply) effect).change())
			.filter(StateChange.ConfigurationPublished.class::isInstance)
			.map((change) -> ((StateChange.ConfigurationPublished) change).configuration())
			.toList();
	}

	private static long countRemovals(List<StateFollowerEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof StateFollowerEffect.Apply apply
					&& apply.change() instanceof StateChange.ServerRemoved)
			.count();
	}

}
