package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the start of a {@link MembershipList}.
 */
class MembershipStartTests {

	private static final long CLOCK_ORIGIN = 979_293;

	// Guards against reporting a pause at the start because the monotonic clock does not
	// start at 0.
	@Test
	void startIsNotReportedAsPause() {
		FailureDomain domain = new FailureDomain(new Region("addis"), "a");
		Member self = new Member(new DaemonId("one", 1), 0, new HostAddress("127.0.0.1", 1), domain,
				MemberPhase.STARTING, MemberStatus.LIVE);
		MembershipList list = new MembershipList(self, MembershipSettings.standard(), new Random(1));
		List<MembershipEffect> effects = new ArrayList<>(
				list.handle(CLOCK_ORIGIN, new MembershipInput.SeedsChanged(List.of())));
		effects.addAll(list.tick(CLOCK_ORIGIN));
		effects.addAll(list.tick(CLOCK_ORIGIN + 1));
		assertThat(effects.stream().anyMatch(MembershipEffect.Resumed.class::isInstance)).isFalse();
	}

}
