package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.internal.CostBasedServerSelector;
import org.wigeonmast.balance.internal.RequestState;
import org.wigeonmast.balance.internal.RequestState.InFlightAttempt;
import org.wigeonmast.balance.internal.ServerRegistry;
import org.wigeonmast.balance.internal.ServerState;
import org.wigeonmast.balance.internal.ServiceState;
import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.balance.peer.SuspicionReport;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.manifest.BackendServer;

/**
 * Coordinator of the attempts of each request of a daemon in a fleet without owners: it
 * selects the backend servers, decides about further attempts and reports the outcome.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: each accepted request ends
 * exactly once as answered, not run or unknown; it ends as not run only if no byte of it
 * was sent or each server that received it stated that it did not run it; a
 * non-idempotent request is sent to a second server only under that same condition.
 */
public final class BalanceCoordinator implements Component<BalanceInput, BalanceEffect> {

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private static final int MISDIRECTED_REQUEST_STATUS = 421;

	/**
	 * Maximum number of servers that are tried for one request, connections that failed
	 * included.
	 */
	private static final int MAX_ATTEMPTS = 6;

	/**
	 * Fraction of the target latency after which an unanswered repeatable request is sent
	 * to a second server.
	 */
	private static final double SECOND_SEND_FRACTION = 0.55;

	/** Minimum time in milliseconds after which a refused caller may retry. */
	private static final long MIN_RETRY_AFTER_MS = 50;

	/**
	 * Upper bound in milliseconds of the random time that is added to the minimum retry
	 * delay, so that refused callers do not retry all at once.
	 */
	private static final int RETRY_AFTER_JITTER_MS = 150;

	/**
	 * Multiple of the target latency after which a request that timed out counts as
	 * failed rather than overdue.
	 */
	private static final long FAILED_FACTOR = 2;

	/** Connections per backend server of a service without a configuration. */
	private static final int DEFAULT_CONNECTIONS_PER_SERVER = 100;

	private static final String NO_SERVER_REASON = "no backend server of the service can be reached";

	private static final String SHED_REASON = "the backend servers are full";

	private final Map<RequestId, RequestState> requests = new HashMap<>();

	private final PriorityQueue<AttemptCheck> checks = new PriorityQueue<>(
			Comparator.comparingLong(AttemptCheck::dueAt));

	private final List<BalanceEffect> effects = new ArrayList<>();

	private final ServerRegistry registry;

	private final CostBasedServerSelector selector;

	private final RandomGenerator random;

	private @Nullable FleetConfiguration configuration;

	/**
	 * Creates a coordinator.
	 * @param home the failure domain of this daemon
	 * @param settings the settings
	 * @param random the source of random numbers
	 */
	public BalanceCoordinator(FailureDomain home, BalanceSettings settings, RandomGenerator random) {
		this.registry = new ServerRegistry(settings, this.effects::add);
		this.random = random;
		this.selector = new CostBasedServerSelector(home, settings.floorShare(), random);
	}

	@Override
	public List<BalanceEffect> handle(long now, BalanceInput input) {
		switch (input) {
			case BalanceInput.RequestEventReceived received -> onRequestEvent(now, received.event());
			case BalanceInput.ConfigurationPublished publication -> applyConfiguration(publication.configuration());
			case BalanceInput.ServerChanged change -> this.registry.putServer(now, change.server());
			case BalanceInput.ServerRemoved removal -> this.registry.removeServer(removal.server());
			case BalanceInput.ObservationReceived report ->
				this.registry.recordPeerObservation(now, report.observation());
			case BalanceInput.SuspicionReceived suspicion -> this.registry.recordPeerSuspicion(now, suspicion.report());
			case BalanceInput.LoadReceived report ->
				this.registry.fleetLoad().recordPeerLoad(now, report.peer(), report.loads());
			case BalanceInput.FleetSizeChanged fleet -> this.registry.setDaemons(fleet.daemons());
		}
		return drain();
	}

	@Override
	public List<BalanceEffect> tick(long now) {
		while (!this.checks.isEmpty() && this.checks.peek().dueAt() <= now) {
			runCheck(now, this.checks.remove());
		}
		return drain();
	}

	@Override
	public long nextTick() {
		return this.checks.isEmpty() ? NO_TIMER : this.checks.peek().dueAt();
	}

	/**
	 * Returns the number of requests that have not ended.
	 * @return the number
	 */
	public int activeRequests() {
		return this.requests.size();
	}

	/**
	 * Returns the suspected servers, to be reported to peers.
	 * @param now the current monotonic time in milliseconds
	 * @return a report for each suspected server that has evidence
	 */
	public List<SuspicionReport> suspicionReports(long now) {
		return this.registry.suspicionReports(now);
	}

	/**
	 * Returns the load of this daemon, to be reported to peers.
	 * @param now the current monotonic time in milliseconds
	 * @return the request rates of the busiest services
	 */
	public List<ServiceLoad> loads(long now) {
		return this.registry.loads(now);
	}

	private List<BalanceEffect> drain() {
		List<BalanceEffect> pending = List.copyOf(this.effects);
		this.effects.clear();
		return pending;
	}

	private void applyConfiguration(FleetConfiguration published) {
		this.configuration = published;
		log(BalanceEvent.CONFIGURED, "", published.version(), published.ruleCount());
	}

	private void onRequestEvent(long now, RequestEvent event) {
		switch (event) {
			case RequestEvent.Accepted acceptance -> onAccepted(now, acceptance.request());
			case RequestEvent.AttemptProgress progress -> {
				RequestState request = this.requests.get(progress.request());
				InFlightAttempt attempt = (request != null) ? request.attempts.get(progress.attempt()) : null;
				if (request != null && attempt != null) {
					onProgress(now, request, attempt, progress.report());
				}
			}
			case RequestEvent.CallerLeft departure -> {
				RequestState request = this.requests.get(departure.request());
				if (request != null) {
					onCallerLeft(now, request);
				}
			}
		}
	}

	private void onAccepted(long now, RequestDescription description) {
		RequestState request = new RequestState(now, description);
		this.requests.put(description.id(), request);
		this.registry.service(description.service()).recordRequest(now);
		if (!trySend(now, request)) {
			refuse(now, request, NO_SERVER_REASON);
		}
	}

	// Starts an attempt at a server that has not been tried; returns false if there is
	// none.
	private boolean trySend(long now, RequestState request) {
		RequestDescription description = request.description;
		ServiceState service = this.registry.service(description.service());
		ServerState server = this.selector.select(now, service.servers(), request.triedServers, description.workClass(),
				request.isRepeatable(), this.registry.busySlots(now, description.service()),
				this.registry.spreadShare(now, description.service()));
		if (server == null || request.lastAttempt >= MAX_ATTEMPTS) {
			return false;
		}
		int number = ++request.lastAttempt;
		request.sentAttempts++;
		request.triedServers.add(server.record().id());
		request.lastServer = server.record().id().value();
		request.attempts.put(number, new InFlightAttempt(number, server, now));
		server.adjustInFlight(1);
		ServerRecord record = server.record();
		this.effects.add(new BalanceEffect.Exchange(new ExchangeCommand.StartAttempt(request.id(), number,
				new BackendServer(record.id(), record.address(), record.failureDomain(), record.slots(),
						connectionsPerServer(record.service())),
				description.idempotent() ? ConnectionRequirement.ANY : ConnectionRequirement.PROVEN,
				description.deadline())));
		scheduleChecks(now, request, number);
		log(BalanceEvent.SENT, description.externalId(), number, description.plan().name(), record.id(),
				record.service(), ServerRegistry.formatPercent(server.suspicion().probability(now)),
				server.suspicion().evidenceAge(now), description.deadline() - now);
		return true;
	}

	private void scheduleChecks(long now, RequestState request, int number) {
		long target = request.description.plan().targetLatency();
		if (target >= request.description.deadline() - now) {
			return;
		}
		long overdueAfter = this.registry.service(request.description.service()).overdueAfterMs();
		this.checks.add(new AttemptCheck(now + Math.min(target, overdueAfter), request, number, true));
		if (request.isRepeatable() && !request.secondSent) {
			this.checks.add(new AttemptCheck(now + (long) (target * SECOND_SEND_FRACTION), request, number, false));
		}
	}

	private void runCheck(long now, AttemptCheck check) {
		RequestState request = check.request();
		InFlightAttempt attempt = request.attempts.get(check.attempt());
		if (attempt == null || request.relayedAttempt != RequestState.NO_ATTEMPT) {
			return;
		}
		if (check.overdue()) {
			this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.OVERDUE);
		}
		else if (!request.secondSent && hasUntriedServer(request) && tryTakeRetry(request)) {
			request.secondSent = true;
			log(BalanceEvent.SECOND_SEND, request.description.externalId(), attempt.server().record().id(),
					now - attempt.startedAt());
			trySend(now, request);
		}
	}

	private void onProgress(long now, RequestState request, InFlightAttempt attempt, AttemptReport report) {
		switch (report) {
			case AttemptReport.NothingSent failure -> onNothingSent(now, request, attempt, failure.reason());
			case AttemptReport.ResponseStarted response -> onResponseStarted(now, request, attempt, response);
			case AttemptReport.Completed completion -> onCompleted(now, request, attempt, completion.status());
			case AttemptReport.Broken failure -> onBroken(now, request, attempt, failure);
		}
	}

	private void onNothingSent(long now, RequestState request, InFlightAttempt attempt, String reason) {
		removeAttempt(request, attempt);
		request.sentAttempts--;
		attempt.server().recordConnectFailure(now);
		this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.UNREACHABLE);
		boolean sentAgain = now < request.description.deadline() && request.attempts.isEmpty() && trySend(now, request);
		logAttemptFailure(now, request, attempt, reason, sentAgain);
		if (!sentAgain && request.attempts.isEmpty()) {
			refuse(now, request, NO_SERVER_REASON);
		}
	}

	private void onResponseStarted(long now, RequestState request, InFlightAttempt attempt,
			AttemptReport.ResponseStarted response) {
		attempt.server().recordResponse();
		if (response.notRun()) {
			abort(request, attempt);
			if (response.status() == MISDIRECTED_REQUEST_STATUS) {
				attempt.server().markMismatched();
				log(BalanceEvent.SERVER_MISMATCH, request.description.externalId(), attempt.server().record().id(),
						attempt.server().record().address());
			}
			else {
				this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.SHED);
			}
			boolean sentAgain = trySendAgain(now, request, request.description.replayable());
			logAttemptFailure(now, request, attempt, "not run, status " + response.status(), sentAgain);
			if (!sentAgain && request.attempts.isEmpty()) {
				refuse(now, request, SHED_REASON);
			}
		}
		else if (response.status() >= MIN_SERVER_ERROR_STATUS && (request.attempts.size() > 1
				|| (request.isRepeatable() && hasUntriedServer(request) && tryTakeRetry(request)))) {
			request.possiblyRun = true;
			abort(request, attempt);
			this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.FAILED);
			boolean sentAgain = request.attempts.isEmpty() && trySend(now, request);
			logAttemptFailure(now, request, attempt, "status " + response.status(), sentAgain);
		}
		else {
			request.relayedAttempt = attempt.number();
			request.possiblyRun = true;
			this.effects.add(new BalanceEffect.Exchange(new ExchangeCommand.Relay(request.id(), attempt.number())));
		}
	}

	private void onCompleted(long now, RequestState request, InFlightAttempt attempt, int status) {
		ServerState server = attempt.server();
		this.registry.service(request.description.service()).recordDuration(now - attempt.startedAt());
		if (status >= MIN_SERVER_ERROR_STATUS) {
			this.registry.recordObservation(now, server, ServerObservation.Kind.FAILED);
		}
		else if (server.isEvidence(attempt.startedAt())) {
			this.registry.recordSuccess(now, server);
		}
		log(BalanceEvent.ANSWERED, request.description.externalId(), status, server.record().id(),
				now - request.acceptedAt, request.lastAttempt);
		end(now, request, new RequestOutcome.Answered(status));
	}

	private void onBroken(long now, RequestState request, InFlightAttempt attempt, AttemptReport.Broken failure) {
		request.possiblyRun = true;
		removeAttempt(request, attempt);
		recordBrokenAttempt(now, request, attempt, failure.timedOut());
		if (failure.responseStarted()) {
			log(BalanceEvent.GIVEN_UP, request.description.externalId(), now - request.acceptedAt, request.lastAttempt,
					request.lastServer, failure.reason());
			end(now, request, new RequestOutcome.Unknown(failure.reason()));
			return;
		}
		boolean sentAgain = now < request.description.deadline() && trySendAgain(now, request, request.isRepeatable());
		logAttemptFailure(now, request, attempt, failure.reason(), sentAgain);
		if (!sentAgain && request.attempts.isEmpty()) {
			giveUp(now, request, failure.reason());
		}
	}

	// A time-out before the target latency says nothing about the server: the time limit
	// may just be too short for the work.
	private void recordBrokenAttempt(long now, RequestState request, InFlightAttempt attempt, boolean timedOut) {
		long target = request.description.plan().targetLatency();
		long elapsed = now - attempt.startedAt();
		if (!timedOut || elapsed / FAILED_FACTOR >= target) {
			this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.FAILED);
		}
		else if (elapsed >= target) {
			this.registry.recordObservation(now, attempt.server(), ServerObservation.Kind.OVERDUE);
		}
	}

	private boolean trySendAgain(long now, RequestState request, boolean allowed) {
		return allowed && request.attempts.isEmpty() && hasUntriedServer(request) && tryTakeRetry(request)
				&& trySend(now, request);
	}

	private boolean hasUntriedServer(RequestState request) {
		return this.registry.service(request.description.service())
			.servers()
			.stream()
			.anyMatch((server) -> server.isUsable() && !request.triedServers.contains(server.record().id()));
	}

	private boolean tryTakeRetry(RequestState request) {
		return request.sentAttempts < request.description.plan().maxServers()
				&& this.registry.service(request.description.service()).retryBudget().tryTake(this.random.nextDouble());
	}

	private void onCallerLeft(long now, RequestState request) {
		for (InFlightAttempt attempt : List.copyOf(request.attempts.values())) {
			request.possiblyRun = true;
			abort(request, attempt);
		}
		log(BalanceEvent.CALLER_LEFT, request.description.externalId(), now - request.acceptedAt, request.lastAttempt);
		end(now, request, request.possiblyRun ? new RequestOutcome.Unknown("the caller left")
				: new RequestOutcome.NotRun("the caller left", 0));
	}

	private void refuse(long now, RequestState request, String reason) {
		if (request.possiblyRun) {
			giveUp(now, request, reason);
			return;
		}
		long retryAfter = MIN_RETRY_AFTER_MS + this.random.nextInt(RETRY_AFTER_JITTER_MS);
		log(BalanceEvent.REFUSED, request.description.externalId(), now - request.acceptedAt, request.lastAttempt,
				reason, retryAfter);
		endWithoutResponse(now, request, new RequestOutcome.NotRun(reason, retryAfter));
	}

	private void giveUp(long now, RequestState request, String reason) {
		log(BalanceEvent.GIVEN_UP, request.description.externalId(), now - request.acceptedAt, request.lastAttempt,
				request.lastServer, reason);
		endWithoutResponse(now, request, new RequestOutcome.Unknown(reason));
	}

	private void endWithoutResponse(long now, RequestState request, RequestOutcome outcome) {
		this.effects.add(new BalanceEffect.Exchange(new ExchangeCommand.Refuse(request.id(), outcome)));
		end(now, request, outcome);
	}

	private void end(long now, RequestState request, RequestOutcome outcome) {
		request.attempts.values().forEach((attempt) -> attempt.server().adjustInFlight(-1));
		request.attempts.clear();
		this.requests.remove(request.id());
		this.effects.add(new BalanceEffect.RequestEnded(request.description.service().value(), outcome,
				now - request.acceptedAt));
	}

	private void logAttemptFailure(long now, RequestState request, InFlightAttempt attempt, String reason,
			boolean sentAgain) {
		log(BalanceEvent.ATTEMPT_FAILED, request.description.externalId(), attempt.number(),
				attempt.server().record().id(), now - attempt.startedAt(), reason, sentAgain);
	}

	private void abort(RequestState request, InFlightAttempt attempt) {
		this.effects.add(new BalanceEffect.Exchange(new ExchangeCommand.Abort(request.id(), attempt.number())));
		removeAttempt(request, attempt);
	}

	private void removeAttempt(RequestState request, InFlightAttempt attempt) {
		if (request.attempts.remove(attempt.number()) != null) {
			attempt.server().adjustInFlight(-1);
		}
	}

	private int connectionsPerServer(ServiceName name) {
		ServiceConfiguration service = (this.configuration != null) ? this.configuration.service(name) : null;
		return (service != null) ? service.connections() : DEFAULT_CONNECTIONS_PER_SERVER;
	}

	private void log(BalanceEvent event, String request, Object... parameters) {
		this.effects.add(new BalanceEffect.Logged(event, request, List.of(parameters)));
	}

	/**
	 * A scheduled check of an attempt that may still be unanswered.
	 *
	 * @param dueAt the monotonic time in milliseconds at which it is due
	 * @param request the request
	 * @param attempt the number of the attempt
	 * @param overdue whether the attempt then counts as overdue; otherwise the request is
	 * sent to a second server
	 */
	private record AttemptCheck(long dueAt, RequestState request, int attempt, boolean overdue) {
	}

}
