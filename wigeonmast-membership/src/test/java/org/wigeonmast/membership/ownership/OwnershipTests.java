package org.wigeonmast.membership.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.membership.MemberStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against daemons that disagree on an owner although they see the same members,
 * against owners that change unnecessarily, and against an uneven distribution of
 * services over owners.
 */
class OwnershipTests {

	private static final Region REGION = new Region("addis");

	private static final int DAEMONS = 18;

	private static final int SERVICES = 980;

	private final List<Member> members = new ArrayList<>();

	private final Ownership ownership = new Ownership();

	OwnershipTests() {
		for (int i = 0; i < DAEMONS; i++) {
			this.members.add(member("daemon-" + i, REGION, MemberPhase.READY));
		}
		this.ownership.update(this.members);
	}

	@Test
	void ranksDoNotDependOnTheOrderOfMembers() {
		Ownership other = new Ownership();
		Collections.shuffle(this.members, new Random(1));
		other.update(this.members);
		for (int i = 0; i < SERVICES; i++) {
			assertThat(other.rankedMembers(service(i), REGION))
				.isEqualTo(this.ownership.rankedMembers(service(i), REGION));
		}
	}

	@Test
	void removingAMemberKeepsTheOrderOfTheOthers() {
		Ownership without = new Ownership();
		Member removedMember = this.members.removeLast();
		without.update(this.members);
		for (int i = 0; i < SERVICES; i++) {
			List<Member> expected = new ArrayList<>(this.ownership.rankedMembers(service(i), REGION));
			expected.remove(removedMember);
			List<Member> rank = without.rankedMembers(service(i), REGION);
			assertThat(rank).hasSize(Ownership.MAXIMUM_RANKED_MEMBERS);
			assertThat(rank.subList(0, expected.size())).isEqualTo(expected);
		}
	}

	// Guards against stale cached ranks after a member of the region was replaced.
	@Test
	void ranksAreRecomputedWhenTheRegionChanges() {
		Region dire = new Region("dire");
		Member elsewhere = member("elsewhere", dire, MemberPhase.READY);
		this.members.add(elsewhere);
		this.ownership.update(this.members);
		Member owner = this.ownership.rankedMembers(service(1), REGION).getFirst();
		assertThat(this.ownership.rankedMembers(service(1), dire)).containsExactly(elsewhere);
		Member replacement = new Member(new DaemonId(owner.name(), 2), 0, owner.address(), owner.failureDomain(),
				MemberPhase.READY, MemberStatus.LIVE);
		this.members.replaceAll((member) -> member.equals(owner) ? replacement : member);
		this.ownership.update(this.members);
		assertThat(this.ownership.rankedMembers(service(1), REGION).getFirst()).isEqualTo(replacement);
		assertThat(this.ownership.rankedMembers(service(1), dire)).containsExactly(elsewhere);
	}

	@Test
	void servicesAreSpreadEvenly() {
		Map<String, Integer> serviceCounts = new HashMap<>();
		for (int i = 0; i < SERVICES; i++) {
			serviceCounts.merge(this.ownership.rankedMembers(service(i), REGION).getFirst().name(), 1, Integer::sum);
		}
		assertThat(serviceCounts).hasSize(DAEMONS);
		assertThat(Collections.max(serviceCounts.values())).isLessThan(2 * SERVICES / DAEMONS);
	}

	@Test
	void ownersAreReadyAndReadersAreNotLeaving() {
		List<Member> mixed = List.of(member("a", REGION, MemberPhase.STARTING), member("b", REGION, MemberPhase.READY),
				member("c", REGION, MemberPhase.LEAVING), member("d", new Region("dire"), MemberPhase.READY));
		this.ownership.update(mixed);
		assertThat(this.ownership.rankedMembers(service(1), REGION)).containsExactly(mixed.get(1));
		assertThat(this.ownership.readers(REGION)).containsExactly(mixed.get(0), mixed.get(1));
		assertThat(this.ownership.owner(service(1), new Region("none"))).isNull();
	}

	private static ServiceName service(int number) {
		return new ServiceName("service-" + number);
	}

	private static Member member(String name, Region region, MemberPhase phase) {
		return new Member(new DaemonId(name, 1), 0, new HostAddress(name, 1), new FailureDomain(region, "one"), phase,
				MemberStatus.LIVE);
	}

}
