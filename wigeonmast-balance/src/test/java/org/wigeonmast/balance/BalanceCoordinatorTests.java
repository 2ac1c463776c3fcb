package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;

/** Tests of {@link BalanceCoordinator}. */
class BalanceCoordinatorTests {

	private static final long DEADLINE = 1500;

	private final BalanceCoordinator coordinator = new BalanceCoordinator(BalanceFixtures.HOME,
			BalanceSettings.DEFAULTS, RandomGeneratorFactory.of("L64X128MixRandom").create(3));

	private final List<ExchangeCommand> commands = new ArrayList<>();

	private final List<ServerObservation> reportedObservations = new ArrayList<>();

	private long now;

	@BeforeEach
	void addServers() {
		handle(new BalanceInput.ConfigurationPublished(BalanceFixtures.configuration(1)));
		for (String id : List.of("a", "b", "c")) {
			handle(new BalanceInput.ServerChanged(BalanceFixtures.server(id)));
		}
	}

	/**
	 * Guards against running a non-idempotent request twice after its answer was lost.
	 */
	@Test
	void nonIdempotentRequestIsNotSentAgainAfterItMayHaveRun() {
		accept("r", false);
		report("r", 1, new AttemptReport.Broken(false, false, "reset"));
		Truth.assertThat(starts()).hasSize(1);
		Truth.assertThat(lastOutcome()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	/**
	 * Guards against reporting a request as not run when one server refused it but
	 * another may have run it.
	 */
	@Test
	void refusalAfterAPossibleRunIsUnknown() {
		accept("r", true);
		report("r", 1, new AttemptReport.Broken(false, false, "reset"));
		report("r", 2, new AttemptReport.ResponseStarted(503, true, false));
		Truth.assertThat(lastOutcome()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	/**
	 * Guards against giving up a request that a full server refused without running it.
	 */
	@Test
	void nonIdempotentRequestIsSentAgainWhenItWasNotRun() {
		accept("r", false);
		report("r", 1, new AttemptReport.ResponseStarted(503, true, false));
		Truth.assertThat(starts()).hasSize(2);
		Truth.assertThat(starts().get(1).server().id()).isNotEqualTo(starts().get(0).server().id());
	}

	/** Guards against sending a request to more servers than its plan allows. */
	@Test
	void requestIsNotSentToMoreServersThanItsPlanAllows() {
		accept("r", false);
		report("r", 1, new AttemptReport.ResponseStarted(503, true, false));
		report("r", 2, new AttemptReport.ResponseStarted(503, true, false));
		Truth.assertThat(starts()).hasSize(2);
		RequestOutcome outcome = lastOutcome();
		Truth.assertThat(outcome).isInstanceOf(RequestOutcome.NotRun.class);
		Truth.assertThat(((RequestOutcome.NotRun) outcome).retryAfter()).isGreaterThan(0);
	}

	/** Guards against spending the retry budget on servers that received nothing. */
	@Test
	void failedConnectionsDoNotCountAsSends() {
		accept("r", false);
		report("r", 1, new AttemptReport.NothingSent("refused"));
		report("r", 2, new AttemptReport.NothingSent("refused"));
		Truth.assertThat(starts()).hasSize(3);
	}

	/**
	 * Guards against passing an error to the caller that a retry at another server would
	 * have avoided.
	 */
	@Test
	void idempotentRequestIsSentAgainAfterAnError() {
		accept("r", true);
		report("r", 1, new AttemptReport.ResponseStarted(500, false, false));
		Truth.assertThat(starts()).hasSize(2);
		Truth.assertThat(this.reportedObservations)
			.contains(new ServerObservation(starts().getFirst().server().id(), ServerObservation.Kind.FAILED));
	}

	/** Guards against replacing a server's error answer to a request that has run. */
	@Test
	void errorOfANonIdempotentRequestIsRelayed() {
		accept("r", false);
		report("r", 1, new AttemptReport.ResponseStarted(500, false, false));
		Truth.assertThat(this.commands.getLast()).isEqualTo(new ExchangeCommand.Relay(new RequestId("r"), 1));
	}

	/** Guards against waiting until the deadline for a server that hangs. */
	@Test
	void idempotentRequestIsSentToASecondServerWhenTheFirstDoesNotAnswer() {
		accept("r", true);
		this.now = this.coordinator.nextTick();
		collect(this.coordinator.tick(this.now));
		Truth.assertThat(starts()).hasSize(2);
		report("r", 2, new AttemptReport.ResponseStarted(200, false, false));
		Truth.assertThat(this.commands.getLast()).isEqualTo(new ExchangeCommand.Relay(new RequestId("r"), 2));
	}

	/**
	 * Guards against taking retries from the budget although there is no other server to
	 * send to, so that they are missing later.
	 */
	@Test
	void noSecondSendIsCountedWithoutAnotherServer() {
		BalanceCoordinator alone = new BalanceCoordinator(BalanceFixtures.HOME, new BalanceSettings(0, 5, 0.7),
				RandomGeneratorFactory.of("L64X128MixRandom").create(3));
		alone.handle(0, new BalanceInput.ServerChanged(BalanceFixtures.server("a")));
		for (int i = 0; i < 10; i++) {
			alone.handle(0, new BalanceInput.RequestEventReceived(
					new RequestEvent.Accepted(BalanceFixtures.request("first" + i, true, DEADLINE))));
		}
		for (long tick = alone.nextTick(); tick < DEADLINE; tick = alone.nextTick()) {
			alone.tick(tick);
		}
		alone.handle(DEADLINE, new BalanceInput.ServerChanged(BalanceFixtures.server("b")));
		alone.handle(DEADLINE, new BalanceInput.RequestEventReceived(
				new RequestEvent.Accepted(BalanceFixtures.request("r", true, 2 * DEADLINE))));
		long starts = alone.tick(alone.nextTick())
			.stream()
			.filter((effect) -> effect instanceof BalanceEffect.Exchange exchange
					&& exchange.command() instanceof ExchangeCommand.StartAttempt)
			.count();
		Truth.assertThat(starts).isEqualTo(1);
	}

	/** Guards against attempts that continue after the caller has left. */
	@Test
	void callerThatLeavesAbortsAllAttempts() {
		accept("r", true);
		this.now = this.coordinator.nextTick();
		collect(this.coordinator.tick(this.now));
		handle(new BalanceInput.RequestEventReceived(new RequestEvent.CallerLeft(new RequestId("r"))));
		Truth.assertThat(this.commands.stream().filter(ExchangeCommand.Abort.class::isInstance).toList()).hasSize(2);
		Truth.assertThat(this.coordinator.activeRequests()).isEqualTo(0);
	}

	/** Guards against using a server again whose address was assigned to another one. */
	@Test
	void mismatchedServerIsNotUsedUntilItsRecordChanges() {
		accept("r", false);
		BackendServerId mismatched = starts().getFirst().server().id();
		report("r", 1, new AttemptReport.ResponseStarted(421, true, false));
		for (int i = 0; i < 50; i++) {
			accept("n" + i, false);
		}
		Truth.assertThat(starts().stream().skip(1).map((start) -> start.server().id()).toList())
			.doesNotContain(mismatched);
	}

	/** Guards against applying evidence from before a restart to the restarted server. */
	@Test
	void restartedServerBeginsWithoutEvidence() {
		BackendServerId id = new BackendServerId("a");
		handle(new BalanceInput.ObservationReceived(new ServerObservation(id, ServerObservation.Kind.FAILED)));
		ServerRecord first = BalanceFixtures.server("a");
		handle(new BalanceInput.ServerChanged(new ServerRecord(id, 2, first.service(), first.address(),
				first.failureDomain(), first.slots(), false, 0)));
		for (int i = 0; i < 50; i++) {
			accept("n" + i, false);
		}
		Truth.assertThat(starts().stream().map((start) -> start.server().id()).toList()).contains(id);
	}

	/**
	 * Guards against sending more requests to a server that hangs, until the first one
	 * times out.
	 */
	@Test
	void overdueRequestIsReportedBeforeItsTargetLatency() {
		accept("r", false);
		while (this.coordinator.nextTick() < this.now + 500) {
			collect(this.coordinator.tick(this.coordinator.nextTick()));
		}
		Truth.assertThat(this.reportedObservations)
			.containsExactly(new ServerObservation(starts().getFirst().server().id(), ServerObservation.Kind.OVERDUE));
	}

	/** Guards against suspecting all servers of a service whose requests take long. */
	@Test
	void overdueFollowsTheUsualDurationOfTheService() {
		for (int i = 0; i < 50; i++) {
			accept("slow" + i, false);
			this.now += 400;
			report("slow" + i, 1, new AttemptReport.ResponseStarted(200, false, false));
			report("slow" + i, 1, new AttemptReport.Completed(200));
		}
		this.reportedObservations.clear();
		accept("r", false);
		long acceptedAt = this.now;
		while (this.coordinator.nextTick() < acceptedAt + 500) {
			collect(this.coordinator.tick(this.coordinator.nextTick()));
		}
		Truth.assertThat(this.reportedObservations).isEmpty();
	}

	/**
	 * Guards against suspecting a server because the time limit of a request is too
	 * short.
	 */
	@Test
	void shortTimeLimitIsNotHeldAgainstTheServer() {
		accept("r", false);
		this.now += 300;
		report("r", 1, new AttemptReport.Broken(false, true, "timed out"));
		Truth.assertThat(this.reportedObservations).isEmpty();
	}

	/**
	 * Guards against clearing a failing server by the answer to a request that it
	 * accepted before it began to fail.
	 */
	@Test
	void answerOfARequestSentBeforeAFailureIsNotReported() {
		for (String id : List.of("b", "c")) {
			handle(new BalanceInput.ServerRemoved(new BackendServerId(id)));
		}
		accept("early", false);
		this.now += 50;
		accept("failed", false);
		this.now += 10;
		report("failed", 1, new AttemptReport.ResponseStarted(500, false, false));
		report("failed", 1, new AttemptReport.Completed(500));
		this.now += 40;
		report("early", 1, new AttemptReport.ResponseStarted(200, false, false));
		report("early", 1, new AttemptReport.Completed(200));
		Truth.assertThat(this.reportedObservations)
			.containsExactly(new ServerObservation(new BackendServerId("a"), ServerObservation.Kind.FAILED));
	}

	/**
	 * Guards against daemons that keep avoiding a server because nobody reports that it
	 * answers again.
	 */
	@Test
	void answerOfAnAvoidedServerIsReported() {
		for (String id : List.of("b", "c")) {
			handle(new BalanceInput.ServerRemoved(new BackendServerId(id)));
		}
		handle(new BalanceInput.ObservationReceived(
				new ServerObservation(new BackendServerId("a"), ServerObservation.Kind.FAILED)));
		this.now += 20_000;
		accept("r", false);
		this.now += 100;
		report("r", 1, new AttemptReport.ResponseStarted(200, false, false));
		report("r", 1, new AttemptReport.Completed(200));
		Truth.assertThat(this.reportedObservations)
			.containsExactly(new ServerObservation(new BackendServerId("a"), ServerObservation.Kind.SERVED));
	}

	/** Guards against letting a request wait when the service has no server. */
	@Test
	void requestWithoutAnyServerIsRefusedAtOnce() {
		for (String id : List.of("a", "b", "c")) {
			handle(new BalanceInput.ServerRemoved(new BackendServerId(id)));
		}
		accept("r", false);
		Truth.assertThat(lastOutcome()).isInstanceOf(RequestOutcome.NotRun.class);
	}

	private void accept(String id, boolean idempotent) {
		handle(new BalanceInput.RequestEventReceived(
				new RequestEvent.Accepted(BalanceFixtures.request(id, idempotent, this.now + DEADLINE))));
	}

	private void report(String id, int attempt, AttemptReport report) {
		handle(new BalanceInput.RequestEventReceived(
				new RequestEvent.AttemptProgress(new RequestId(id), attempt, report)));
	}

	private void handle(BalanceInput input) {
		collect(this.coordinator.handle(this.now, input));
	}

	private void collect(List<BalanceEffect> effects) {
		for (BalanceEffect effect : effects) {
			if (effect instanceof BalanceEffect.Exchange exchange) {
				this.commands.add(exchange.command());
			}
			else if (effect instanceof BalanceEffect.ReportObservation tell) {
				this.reportedObservations.add(tell.observation());
			}
		}
	}

	private List<ExchangeCommand.StartAttempt> starts() {
		return this.commands.stream()
			.filter(ExchangeCommand.StartAttempt.class::isInstance)
			.map(ExchangeCommand.StartAttempt.class::cast)
			.toList();
	}

	private RequestOutcome lastOutcome() {
		return ((ExchangeCommand.Refuse) this.commands.getLast()).outcome();
	}

}
