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

	private final StateFollower follower = new StateFollower(RandomGeneratorFactory.of("L64X128MixRandom").create(5));

	private long now;

	/** Guards against readiness before the whole state is known. */
	@Test
	void isCompleteWithServersAndConfigurationOnly() {
		Truth.assertThat(this.follower.isComplete()).isFalse();
		give(new FollowInput.Listed(new Listing(5, List.of(BalanceFixtures.server("a")), null)));
		Truth.assertThat(this.follower.isComplete()).isFalse();
		give(new FollowInput.Changed(List.of(new Change.Configured(BalanceFixtures.configuration(7))), 6));
		Truth.assertThat(this.follower.isComplete()).isTrue();
	}

	/** Guards against a stale read that brings an older configuration back. */
	@Test
	void configurationNeverFallsBack() {
		start(7);
		List<FollowEffect> effects = give(
				new FollowInput.Listed(new Listing(9, List.of(), BalanceFixtures.configuration(6))));
		Truth.assertThat(configured(effects)).isEmpty();
	}

	/** Guards against work for a server that left without saying so. */
	@Test
	void removedServerIsOutOfUseAtOnce() {
		start(1);
		Truth.assertThat(removed(give(new FollowInput.Changed(List.of(removal()), 11)))).isEqualTo(1);
	}

	/**
	 * Guards against losing all servers when their records lapse while the store is down.
	 */
	@Test
	void recordThatLapsedDuringAnOutageMayComeBack() {
		start(1);
		give(new FollowInput.Failed("no answer"));
		this.now += 5000;
		Truth.assertThat(removed(give(new FollowInput.Changed(List.of(removal()), 11)))).isEqualTo(0);
		this.now += 1500;
		give(new FollowInput.Changed(List.of(new Change.ServerWritten(BalanceFixtures.server("a"))), 12));
		Truth.assertThat(removed(tickUntil(this.now + 5000))).isEqualTo(0);
	}

	/** Guards against a dead server that is kept because the store was away. */
	@Test
	void recordThatStaysAwayIsDroppedWithinTwoSeconds() {
		start(1);
		give(new FollowInput.Failed("no answer"));
		this.now += 5000;
		give(new FollowInput.Changed(List.of(removal()), 11));
		Truth.assertThat(removed(tickUntil(this.now + StateFollower.LAPSE_GRACE))).isEqualTo(1);
	}

	/**
	 * Guards against a server that left while only this daemon was cut off from the store
	 * and that is used for the time in which lapsed records may come back.
	 */
	@Test
	void recordIsDroppedAtOnceIfPeersReachedTheStoreMeanwhile() {
		start(1);
		give(new FollowInput.Failed("no answer"));
		for (int second = 0; second < 6; second++) {
			this.now += 1000;
			give(new FollowInput.PeerRevision(11, 300, 30_000));
		}
		Truth.assertThat(removed(give(new FollowInput.Changed(List.of(removal()), 11)))).isEqualTo(1);
	}

	/**
	 * Guards against the same if this daemon was cut off from its peers as well, which
	 * tell it only afterwards that the store was never away.
	 */
	@Test
	void recordIsDroppedWhenAPeerTellsThatTheStoreWasNeverAway() {
		start(1);
		give(new FollowInput.Failed("no answer"));
		this.now += 8000;
		Truth.assertThat(removed(give(new FollowInput.Changed(List.of(removal()), 11)))).isEqualTo(0);
		this.now += 200;
		Truth.assertThat(removed(give(new FollowInput.PeerRevision(11, 100, 9000)))).isEqualTo(1);
	}

	/** Guards against a peer that was back a little earlier and proves nothing. */
	@Test
	void recordIsKeptIfThePeerLostTheStoreToo() {
		start(1);
		give(new FollowInput.Failed("no answer"));
		this.now += 8000;
		give(new FollowInput.Changed(List.of(removal()), 11));
		this.now += 200;
		Truth.assertThat(removed(give(new FollowInput.PeerRevision(11, 100, 700)))).isEqualTo(0);
	}

	/** Guards against a daemon that vouches for a store that it has never reached. */
	@Test
	void storeThatWasNeverReachedIsNotSteady() {
		give(new FollowInput.Started());
		give(new FollowInput.Failed("no answer"));
		Truth.assertThat(this.follower.steadySince()).isGreaterThan(this.now);
	}

	/** Guards against a daemon that finds the store long after it is back. */
	@Test
	void lostStoreIsTriedAgainSoon() {
		start(1);
		for (int failure = 0; failure < 20; failure++) {
			give(new FollowInput.Failed("no answer"));
			Truth.assertThat(this.follower.nextTick()).isAtMost(this.now + 600);
			this.now = this.follower.nextTick();
			this.follower.tick(this.now);
		}
	}

	/** Guards against a follower that goes on from a history that is gone. */
	@Test
	void droppedHistoryMakesItReadTheWholeState() {
		start(1);
		Truth.assertThat(give(new FollowInput.HistoryDropped())).contains(new FollowEffect.ReadState());
	}

	/** Guards against a read of the whole state that a watch replaces before it ends. */
	@Test
	void readAfterADroppedHistoryIsLeftToEnd() {
		start(1);
		give(new FollowInput.HistoryDropped());
		Truth.assertThat(tickUntil(this.now + 5000)).doesNotContain(new FollowEffect.Watch(10));
	}

	/** Guards against waiting on a connection whose answer was lost. */
	@Test
	void peerThatIsAheadMakesItWatchAgain() {
		start(1);
		tickUntil(this.now + 1000);
		give(new FollowInput.PeerRevision(20, 0, 0));
		Truth.assertThat(tickUntil(this.now + 1000)).contains(new FollowEffect.Watch(10));
	}

	/**
	 * Guards against a leaving server that is used because the answer of a watch was
	 * lost.
	 */
	@Test
	void watchThatNothingConfirmsIsStartedAgain() {
		start(1);
		long lostAt = this.now;
		List<FollowEffect> effects = tickUntil(lostAt + 3000);
		Truth.assertThat(effects).contains(new FollowEffect.Watch(10));
	}

	/** Guards against calls that a peer's confirmation makes needless. */
	@Test
	void watchThatPeersConfirmGoesOn() {
		start(1);
		List<FollowEffect> effects = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			effects.addAll(tickUntil(this.now + 1000));
			give(new FollowInput.PeerRevision(10, 500, 0));
		}
		Truth.assertThat(effects).doesNotContain(new FollowEffect.Watch(10));
	}

	/** Guards against a storm of calls while the store is down. */
	@Test
	void failedCallsAreRepeatedWithGrowingPauses() {
		start(1);
		long calls = 0;
		for (long end = this.now + 20_000; this.now < end;) {
			give(new FollowInput.Failed("no answer"));
			this.now = this.follower.nextTick();
			calls += this.follower.tick(this.now).stream().filter(FollowEffect.Watch.class::isInstance).count();
		}
		Truth.assertThat(calls).isAtMost(50);
	}

	private void start(long version) {
		give(new FollowInput.Listed(
				new Listing(10, List.of(BalanceFixtures.server("a")), BalanceFixtures.configuration(version))));
	}

	private static Change removal() {
		return new Change.ServerRemoved(new BackendServerId("a"));
	}

	private List<FollowEffect> give(FollowInput input) {
		return this.follower.handle(this.now, input);
	}

	private List<FollowEffect> tickUntil(long end) {
		List<FollowEffect> effects = new ArrayList<>();
		while (this.follower.nextTick() <= end) {
			this.now = this.follower.nextTick();
			effects.addAll(this.follower.tick(this.now));
		}
		this.now = end;
		return effects;
	}

	private static List<FleetConfiguration> configured(List<FollowEffect> effects) {
		return effects.stream()
			.filter(FollowEffect.Apply.class::isInstance)
			.map((effect) -> ((FollowEffect.Apply) effect).change())
			.filter(Change.Configured.class::isInstance)
			.map((change) -> ((Change.Configured) change).configuration())
			.toList();
	}

	private static long removed(List<FollowEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof FollowEffect.Apply apply
					&& apply.change() instanceof Change.ServerRemoved)
			.count();
	}

}
