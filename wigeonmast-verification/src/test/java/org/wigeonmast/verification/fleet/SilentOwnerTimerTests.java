package org.wigeonmast.verification.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ActiveEjections;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.HealthMessage;

import static com.google.common.truth.Truth.assertThat;

/** Reduced from a case of {@link FleetFuzzTests}. */
class SilentOwnerTimerTests {

	private static final DaemonId OWNER = new DaemonId("owner", 1);

	private static final ServiceName SERVICE = new ServiceName("rota-board");

	/**
	 * Guards against a timer in the past, with which the control thread of a daemon runs
	 * ticks without a break after a lease of a silent owner ran out.
	 */
	@Test
	void tickAfterLeaseRunsOutSetsTimerInTheFuture() {
		ActiveEjections view = new ActiveEjections(new DaemonId("self", 1));
		view.handle(0, new HealthInput.MessageReceived(OWNER, new HealthMessage.EjectionNotice(SERVICE)));
		HealthMessage.AdvisedEjection ejection = new HealthMessage.AdvisedEjection(new BackendServerId("server-0"), 0,
				300, 1, false, "slow");
		view.handle(10, new HealthInput.MessageReceived(OWNER,
				new HealthMessage.EjectionAdvice(SERVICE, 1, List.of(ejection))));
		view.tick(300);
		assertThat(view.nextTick()).isGreaterThan(300);
	}

}
