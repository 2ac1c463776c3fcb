package org.wigeonmast.bench.fleet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.membership.Member;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong deaths and lasting disagreement after each fault of one daemon or
 * of a link, in a fleet of today's size for one user.
 */
class FleetBehaviourTests {

	private static final ServiceName SERVICE = new ServiceName("claim-desk");

	private SimulatedFleet fleet;

	@BeforeEach
	void startFleet() {
		this.fleet = new SimulatedFleet(FleetShape.of(36), 7, 2, 512);
		assertThat(this.fleet.startAll(30)).isAtLeast(0L);
		this.fleet.runFor(5000);
	}

	@Test
	void pausedMemberAccusesNobodyAndReturns() {
		SimulatedDaemon paused = this.fleet.daemons().get(3);
		paused.pause();
		this.fleet.runFor(30_000);
		assertThat(countLive(paused)).isEqualTo(0);
		long deaths = deathsReported();
		paused.resume();
		this.fleet.runFor(10_000);
		assertThat(countLive(paused)).isEqualTo(35);
		assertThat(deathsReported()).isEqualTo(deaths);
		assertThat(paused.follower().isReady()).isTrue();
	}

	@Test
	void pausedMemberIsNotReadyUntilItHasAskedAgain() {
		SimulatedDaemon paused = this.fleet.daemons().get(3);
		paused.pause();
		this.fleet.runFor(30_000);
		this.fleet.network()
			.setCutCondition((from, to) -> from.equals(paused.address()) || to.equals(paused.address()));
		paused.resume();
		this.fleet.runFor(1000);
		assertThat(paused.follower().isReady()).isFalse();
		this.fleet.heal();
		this.fleet.runFor(10_000);
		assertThat(paused.follower().isReady()).isTrue();
	}

	@Test
	void memberThatHearsNothingAccusesNobody() {
		SimulatedDaemon deaf = this.fleet.daemons().get(3);
		this.fleet.network().setCutCondition((from, to) -> to.equals(deaf.address()));
		this.fleet.runFor(60_000);
		assertThat(countLive(deaf)).isEqualTo(0);
		for (SimulatedDaemon daemon : this.fleet.daemons()) {
			assertThat(daemon == deaf || daemon.membership().liveCount() == 35).isTrue();
		}
		this.fleet.heal();
		this.fleet.runFor(15_000);
		assertThat(countLive(deaf)).isEqualTo(35);
		assertThat(deaf.membership().live()).hasSize(36);
	}

	@Test
	void oneWayCutBetweenTwoMembersKillsNeither() {
		SimulatedDaemon first = this.fleet.daemons().get(3);
		SimulatedDaemon second = this.fleet.daemons().get(7);
		long deaths = deathsReported();
		this.fleet.network().cut(first.address(), second.address());
		this.fleet.runFor(120_000);
		assertThat(deathsReported()).isEqualTo(deaths);
	}

	@Test
	void bothSidesOfASplitHaveTheirOwnOwnerAndAgreeAfterHealing() {
		Region region = this.fleet.shape().lastRegion();
		Member before = this.fleet.daemons().getFirst().ownership().owner(SERVICE, region);
		this.fleet.cutRegion(region);
		this.fleet.runFor(40_000);
		assertThat(ownersSeen(region, true)).isEqualTo(1);
		for (SimulatedDaemon daemon : this.fleet.daemons()) {
			assertThat(daemon.membership().liveCount()).isEqualTo(18);
		}
		this.fleet.heal();
		this.fleet.runFor(20_000);
		assertThat(ownersSeen(region, false)).isEqualTo(1);
		assertThat(this.fleet.daemons().getFirst().ownership().owner(SERVICE, region).id()).isEqualTo(before.id());
	}

	@Test
	void pausedOwnerStillBelievesThatItOwnsWhenItResumes() {
		Region region = this.fleet.shape().storeRegion();
		Member owner = this.fleet.daemons().getFirst().ownership().owner(SERVICE, region);
		SimulatedDaemon paused = this.fleet.daemons()
			.stream()
			.filter((daemon) -> daemon.member().id().equals(owner.id()))
			.findFirst()
			.orElseThrow();
		paused.pause();
		this.fleet.runFor(20_000);
		paused.resume();
		assertThat(paused.ownership().owner(SERVICE, region).id()).isEqualTo(owner.id());
		assertThat(ownersSeen(region, true)).isEqualTo(2);
		this.fleet.runFor(5000);
		assertThat(ownersSeen(region, true)).isEqualTo(1);
	}

	@Test
	void replacedDaemonIsReadyWithTheVersionInForceThoughTheStoreIsStale() {
		this.fleet.store().setAway(true);
		SimulatedDaemon replacement = this.fleet.replace(5);
		this.fleet.runFor(5000);
		assertThat(replacement.follower().isReady()).isTrue();
		assertThat(replacement.follower().versionInForce())
			.isEqualTo(this.fleet.daemons().getFirst().follower().versionInForce());
	}

	private long countLive(SimulatedDaemon subject) {
		return this.fleet.daemons()
			.stream()
			.filter((daemon) -> daemon != subject && daemon.membership().isLive(subject.member().name()))
			.count();
	}

	private long deathsReported() {
		return this.fleet.daemons().stream().mapToLong(SimulatedDaemon::deathsReported).sum();
	}

	private long ownersSeen(Region region, boolean fromInside) {
		return this.fleet.daemons()
			.stream()
			.filter((daemon) -> !fromInside || daemon.member().region().equals(region))
			.map((daemon) -> daemon.ownership().owner(SERVICE, region))
			.map((owner) -> (owner != null) ? owner.name() : "")
			.distinct()
			.count();
	}

}
