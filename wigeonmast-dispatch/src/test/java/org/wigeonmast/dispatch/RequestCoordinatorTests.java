package org.wigeonmast.dispatch;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.DispatchMessage.SlotGrant;
import org.wigeonmast.dispatch.DispatchMessage.SlotRequest;
import org.wigeonmast.health.ServerHealth;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the retry rules and that reported outcomes are correct.
 */
class RequestCoordinatorTests {

	private static final long DEADLINE_MS = 1000;

	private RequestCoordinator coordinator;

	@BeforeEach
	void setUp() {
		this.coordinator = new RequestCoordinator(DispatchFixtures.daemon(0), DispatchFixtures.ADDIS,
				new SplittableRandom(1));
		this.coordinator.handle(0,
				new CoordinatorInput.ServiceChanged(DispatchFixtures.service(4, 2, DispatchFixtures.ADDIS)));
	}

	/**
	 * Guards against a second run of a non-idempotent request after a broken connection.
	 */
	@Test
	void brokenNonIdempotentRequestIsUnknown() {
		accept(0, "r", false);
		List<DispatchEffect> effects = report(5, "r", 1, new AttemptReport.Broken(false, false, "reset"));
		assertThat(findStartAttempt(effects)).isNull();
		assertThat(findOutcome(effects)).isInstanceOf(RequestOutcome.Unknown.class);
	}

	/** Guards against giving up, or reusing the same server, when nothing was sent. */
	@Test
	void nothingSentIsRetriedOnAnotherServer() {
		BackendServerId first = findStartAttempt(accept(0, "r", false)).server().id();
		ExchangeCommand.StartAttempt second = findStartAttempt(
				report(5, "r", 1, new AttemptReport.NothingSent("refused")));
		assertThat(second.server().id()).isNotEqualTo(first);
		assertThat(second.requirement()).isEqualTo(ConnectionRequirement.PROVEN);
	}

	/**
	 * Guards against an outcome "not run" although one of several attempts may have run.
	 */
	@Test
	void refusalAfterBrokenAttemptIsUnknown() {
		accept(0, "r", true);
		report(5, "r", 1, new AttemptReport.Broken(false, false, "reset"));
		report(6, "r", 2, new AttemptReport.NothingSent("refused"));
		List<DispatchEffect> effects = report(7, "r", 3, new AttemptReport.NothingSent("refused"));
		assertThat(findOutcome(effects)).isInstanceOf(RequestOutcome.Unknown.class);
	}

	/**
	 * Guards against a request that is sent after its deadline because the process was
	 * paused.
	 */
	@Test
	void expiredRequestIsNotSent() {
		List<DispatchEffect> effects = accept(DEADLINE_MS, "r", false);
		assertThat(findStartAttempt(effects)).isNull();
		assertThat(findOutcome(effects)).isInstanceOf(RequestOutcome.NotRun.class);
	}

	/** Guards against retries beyond the retry budget. */
	@Test
	void retriesStopWhenTheBudgetIsSpent() {
		int retries = 0;
		for (int i = 0; i < 50; i++) {
			accept(i, "r" + i, true);
			int attempt = 1;
			AttemptReport broken = new AttemptReport.Broken(false, false, "reset");
			while (findStartAttempt(report(i, "r" + i, attempt, broken)) != null) {
				retries++;
				attempt++;
			}
		}
		assertThat(retries).isEqualTo(10);
	}

	/** Guards against requests to servers that are ejected, dead or leaving. */
	@Test
	void serversOutOfServiceGetNoWork() {
		this.coordinator.handle(0,
				new CoordinatorInput.HealthChanged(DispatchFixtures.BOARD,
						List.of(health(0, ServerHealth.State.EJECTED), health(1, ServerHealth.State.DEAD),
								health(2, ServerHealth.State.LEAVING))));
		for (int i = 0; i < 8; i++) {
			assertThat(findStartAttempt(accept(0, "r" + i, true)).server().id())
				.isEqualTo(DispatchFixtures.serverId(DispatchFixtures.ADDIS, 3));
		}
	}

	/**
	 * Guards against a slot that is never freed when its grant arrives after the request
	 * was dispatched directly.
	 */
	@Test
	void lateGrantIsReturned() {
		this.coordinator.handle(0, new CoordinatorInput.OwnersChanged(DispatchFixtures.BOARD, DispatchFixtures.ADDIS,
				List.of(DispatchFixtures.daemon(1))));
		this.coordinator.handle(0, new CoordinatorInput.Received(DispatchFixtures.daemon(1),
				new DispatchMessage.DispatchAdvice(DispatchFixtures.BOARD, DispatchMode.GRANTED, List.of())));
		SlotRequest slotRequest = findMessage(accept(0, "r", true), SlotRequest.class);
		assertThat(findStartAttempt(this.coordinator.tick(50))).isNotNull();
		List<DispatchEffect> effects = this.coordinator.handle(51,
				new CoordinatorInput.Received(DispatchFixtures.daemon(1), new SlotGrant(DispatchFixtures.BOARD,
						slotRequest.ticket(), DispatchFixtures.serverId(DispatchFixtures.ADDIS, 0), 1000)));
		assertThat(findStartAttempt(effects)).isNull();
		assertThat(findMessage(effects, DispatchMessage.SlotCancel.class).ticket()).isEqualTo(slotRequest.ticket());
	}

	/**
	 * Guards against a request that never ends because the proxy did not report the end
	 * of its attempt.
	 */
	@Test
	void attemptWithoutReportEndsAsUnknown() {
		accept(0, "r", true);
		long due = this.coordinator.nextTick();
		List<DispatchEffect> effects = List.of();
		while (due != Long.MAX_VALUE && findOutcome(effects) == null) {
			effects = this.coordinator.tick(due);
			due = this.coordinator.nextTick();
		}
		assertThat(findOutcome(effects)).isInstanceOf(RequestOutcome.Unknown.class);
		assertThat(this.coordinator.activeRequests()).isEqualTo(0);
	}

	private List<DispatchEffect> accept(long now, String id, boolean idempotent) {
		return this.coordinator.handle(now, new CoordinatorInput.ProxyReport(
				new RequestEvent.Accepted(DispatchFixtures.request(id, idempotent, DEADLINE_MS))));
	}

	private List<DispatchEffect> report(long now, String id, int attempt, AttemptReport report) {
		return this.coordinator.handle(now,
				new CoordinatorInput.ProxyReport(new RequestEvent.AttemptProgress(new RequestId(id), attempt, report)));
	}

	private static ServerHealth health(int server, ServerHealth.State state) {
		return new ServerHealth(DispatchFixtures.serverId(DispatchFixtures.ADDIS, server), state, 0);
	}

	private static ExchangeCommand.StartAttempt findStartAttempt(List<DispatchEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof DispatchEffect.Exchange exchange
					&& exchange.command() instanceof ExchangeCommand.StartAttempt)
			.map((effect) -> (ExchangeCommand.StartAttempt) ((DispatchEffect.Exchange) effect).command())
			.findFirst()
			.orElse(null);
	}

	private static RequestOutcome findOutcome(List<DispatchEffect> effects) {
		return effects.stream()
			.filter(DispatchEffect.Ended.class::isInstance)
			.map((effect) -> ((DispatchEffect.Ended) effect).outcome())
			.findFirst()
			.orElse(null);
	}

	private static <M extends DispatchMessage> M findMessage(List<DispatchEffect> effects, Class<M> type) {
		return effects.stream()
			.filter(DispatchEffect.Send.class::isInstance)
			.map((effect) -> ((DispatchEffect.Send) effect).message())
			.filter(type::isInstance)
			.map(type::cast)
			.findFirst()
			.orElseThrow();
	}

}
