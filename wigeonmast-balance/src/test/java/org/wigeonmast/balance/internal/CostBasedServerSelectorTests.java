package org.wigeonmast.balance.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.manifest.WorkClass;

/** Tests of {@link CostBasedServerSelector}. */
class CostBasedServerSelectorTests {

	private static final int CHOICES = 2000;

	private final CostBasedServerSelector selector = new CostBasedServerSelector(BalanceFixtures.HOME, 0.7,
			RandomGeneratorFactory.of("L64X128MixRandom").create(7));

	private final List<ServerState> servers = new ArrayList<>();

	/** Guards against sending requests to a server that has just failed. */
	@Test
	void suspectedServerIsAvoided() {
		add(4, BalanceFixtures.HOME);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		Truth.assertThat(selectionShares(WorkClass.SHORT).getOrDefault("s0", 0.0)).isLessThan(0.01);
	}

	/** Guards against avoiding so many servers that the rest are overloaded. */
	@Test
	void suspicionKeepsTheFloorShareInUse() {
		add(10, BalanceFixtures.HOME);
		for (int i = 0; i < 8; i++) {
			for (int failure = 0; failure <= i; failure++) {
				this.servers.get(i).observe(0, ServerObservation.Kind.FAILED);
			}
		}
		Map<String, Double> shares = selectionShares(WorkClass.SHORT);
		// Two of ten servers may be failing, and 70 % of the other eight stay in use.
		Truth.assertThat(shares.size()).isAtLeast(5);
	}

	/** Guards against overloading healthy servers because others are suspected. */
	@Test
	void suspectedServersAreUsedWhenTheOthersHaveNoRoom() {
		add(4, BalanceFixtures.HOME);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		int used = 0;
		for (int i = 0; i < CHOICES; i++) {
			ServerState selection = this.selector.select(0, this.servers, Set.of(), WorkClass.SHORT, false, 7.5, 0);
			used += (selection == this.servers.getFirst()) ? 1 : 0;
		}
		Truth.assertThat(used).isGreaterThan(CHOICES / 50);
	}

	/**
	 * Guards against sending large answers over links between failure domains, whose
	 * traffic is billed.
	 */
	@Test
	void longWorkStaysInItsFailureDomain() {
		add(2, BalanceFixtures.HOME);
		add(2, BalanceFixtures.NEAR);
		add(2, BalanceFixtures.FAR);
		Map<String, Double> shares = selectionShares(WorkClass.LONG);
		Truth.assertThat(shares.getOrDefault("s0", 0.0) + shares.getOrDefault("s1", 0.0)).isGreaterThan(0.99);
	}

	/**
	 * Guards against long requests that fail at the nearest server for a whole failure
	 * episode.
	 */
	@Test
	void longWorkLeavesASuspectedServerOfItsFailureDomain() {
		add(1, BalanceFixtures.HOME);
		add(3, BalanceFixtures.NEAR);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		int near = 0;
		for (int i = 0; i < CHOICES; i++) {
			ServerState selection = this.selector.select(0, this.servers, Set.of(), WorkClass.LONG, true, 0, 0);
			near += (selection != this.servers.getFirst()) ? 1 : 0;
		}
		Truth.assertThat(near).isGreaterThan(CHOICES * 95 / 100);
	}

	/** Guards against using a server that is likely to fail to save a little traffic. */
	@Test
	void shortWorkLeavesARegionWhoseServersAreSuspected() {
		add(1, BalanceFixtures.HOME);
		add(3, BalanceFixtures.FAR);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		Truth.assertThat(selectionShares(WorkClass.SHORT).getOrDefault("s0", 0.0)).isLessThan(0.01);
	}

	/**
	 * Guards against traffic between regions while the own region has healthy servers.
	 */
	@Test
	void healthyServersOfTheRegionArePreferred() {
		add(1, BalanceFixtures.HOME);
		add(1, BalanceFixtures.FAR);
		Truth.assertThat(selectionShares(WorkClass.SHORT).getOrDefault("s1", 0.0)).isLessThan(0.1);
	}

	/** Guards against refusing requests of a service whose only servers are distant. */
	@Test
	void distantServerIsUsedWhenThereIsNoOther() {
		add(1, BalanceFixtures.FAR);
		Truth.assertThat(selectionShares(WorkClass.LONG)).containsKey("s0");
	}

	/** Guards against a server that stays unused because nothing renews its suspicion. */
	@Test
	void spreadRequestsReachAServerWithAnOldFailure() {
		add(4, BalanceFixtures.HOME);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		Truth.assertThat(spreadShares(10_000).get("s0")).isWithin(0.05).of(0.25);
	}

	/** Guards against sending more requests to a server that fails just now. */
	@Test
	void spreadRequestsAvoidAServerThatJustFailed() {
		add(4, BalanceFixtures.HOME);
		this.servers.getFirst().observe(0, ServerObservation.Kind.FAILED);
		Truth.assertThat(spreadShares(1000)).doesNotContainKey("s0");
	}

	/** Guards against spreading requests over links between regions. */
	@Test
	void spreadRequestsStayInTheRegion() {
		add(1, BalanceFixtures.HOME);
		add(1, BalanceFixtures.NEAR);
		add(1, BalanceFixtures.FAR);
		Truth.assertThat(spreadShares(0).keySet()).containsExactly("s0", "s1");
	}

	/** Guards against sending a request to the same server twice. */
	@Test
	void noServerIsChosenWhenAllWereTriedOrLeave() {
		add(1, BalanceFixtures.HOME);
		Truth
			.assertThat(this.selector.select(0, this.servers, Set.of(new BackendServerId("s0")), WorkClass.SHORT, true,
					0, 0))
			.isNull();
	}

	private void add(int count, FailureDomain domain) {
		for (int i = 0; i < count; i++) {
			this.servers.add(new ServerState(0, BalanceFixtures.server("s" + this.servers.size(), domain)));
		}
	}

	private Map<String, Double> selectionShares(WorkClass workClass) {
		return shares(0, workClass, 0);
	}

	private Map<String, Double> spreadShares(long now) {
		return shares(now, WorkClass.SHORT, 1);
	}

	private Map<String, Double> shares(long now, WorkClass workClass, double spreadShare) {
		Map<String, Double> shares = new HashMap<>();
		for (int i = 0; i < CHOICES; i++) {
			ServerState selection = this.selector.select(now, this.servers, Set.of(), workClass, false, 0, spreadShare);
			if (selection != null) {
				shares.merge(selection.record().id().value(), 1.0 / CHOICES, Double::sum);
			}
		}
		return shares;
	}

}
