package org.wigeonmast.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.Step;
import org.wigeonmast.dispatch.internal.ActiveRequest;
import org.wigeonmast.dispatch.internal.EffectBuffer;
import org.wigeonmast.dispatch.internal.KeyAdmission;
import org.wigeonmast.dispatch.internal.RefusalRecorder;
import org.wigeonmast.dispatch.internal.RegionView;
import org.wigeonmast.dispatch.internal.ServiceView;
import org.wigeonmast.dispatch.internal.SlotClient;

/**
 * The state machine of each request that this daemon accepted, from routing to its
 * outcome.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: each accepted request ends
 * exactly once as answered, not run or unknown; it ends as not run only if no byte of it
 * was sent or each server that received it stated that it did not run it; a
 * non-idempotent request is sent to a second server only under the same condition.
 * <p>
 * Usage: the daemon creates one coordinator and passes all inputs to it on the control
 * thread: {@link CoordinatorInput.ServiceChanged} for each service of each accepted
 * manifest, {@link CoordinatorInput.OwnersChanged} for each service and region after each
 * change of membership, {@link CoordinatorInput.HealthChanged} after each change of the
 * local health view, {@link CoordinatorInput.RegionsChanged} with each manifest,
 * {@link CoordinatorInput.TimeOfDay} at the start and every few minutes, and
 * {@link CoordinatorInput.Received} for each dispatch message that this input lists.
 * Until owners are known all requests are dispatched directly. After each call the daemon
 * carries out the effects in order: {@link DispatchEffect.Exchange} goes to the proxy,
 * {@link DispatchEffect.Send} goes to the link or, if this daemon is the receiver, back
 * to its own components as a received message, {@link DispatchEffect.ReportObservation}
 * goes to the local health component as evidence from this daemon only (owners pool the
 * evidence that they receive in reports), and {@link DispatchEffect.Audit},
 * {@link DispatchEffect.Logged} and {@link DispatchEffect.Ended} go to the audit trail,
 * the log and the metrics. The daemon calls {@link #tick(long)} at {@link #nextTick()}.
 */
public final class RequestCoordinator implements Component<CoordinatorInput, DispatchEffect> {

	/** The maximum number of attempts for one request. */
	public static final int MAX_ATTEMPTS = 3;

	private static final int STATUS_SERVER_ERROR = 500;

	private static final int STATUS_SERVICE_UNAVAILABLE = 503;

	private static final String REASON_DEADLINE_PASSED = "the deadline passed after the request was sent";

	private static final String REASON_NO_COMPLETE_RESPONSE = "the request was sent and no complete answer was received";

	private static final String REASON_DUPLICATE = "an earlier request with this key may have been run";

	private static final String REASON_DUPLICATE_ANSWERED = "an earlier request with this key was answered with status ";

	private static final String REASON_POSSIBLE_DUPLICATE = "an earlier request with this key cannot be ruled out";

	private final EffectBuffer effects = new EffectBuffer();

	private final Map<ServiceName, ServiceView> services = new HashMap<>();

	private final Map<RequestId, ActiveRequest> requests = new HashMap<>();

	private final Region homeRegion;

	private final SlotClient slotClient;

	private final KeyAdmission keyAdmission;

	private final RefusalRecorder refusalRecorder;

	/**
	 * Creates a coordinator.
	 * @param self this daemon
	 * @param homeRegion the region in which this daemon runs
	 * @param random the source of random numbers for server selection
	 */
	public RequestCoordinator(DaemonId self, Region homeRegion, RandomGenerator random) {
		this.homeRegion = homeRegion;
		this.slotClient = new SlotClient(self, homeRegion, random, this.effects, this::refuse);
		this.keyAdmission = new KeyAdmission(homeRegion, this.effects, new AdmissionListener());
		this.refusalRecorder = new RefusalRecorder(self);
	}

	@Override
	public List<DispatchEffect> handle(long now, CoordinatorInput input) {
		switch (input) {
			case CoordinatorInput.ProxyReport report -> onProxyEvent(now, report.event());
			case CoordinatorInput.Received received -> handleMessage(now, received.sender(), received.message());
			case CoordinatorInput.ServiceChanged changed -> onServiceChanged(changed);
			case CoordinatorInput.ServiceRemoved removed -> this.services.remove(removed.service());
			case CoordinatorInput.HealthChanged changed -> {
				ServiceView view = this.services.get(changed.service());
				if (view != null) {
					view.setHealth(changed.servers());
				}
			}
			case CoordinatorInput.OwnersChanged changed -> {
				ServiceView view = this.services.get(changed.service());
				if (view != null) {
					this.slotClient.onOwnersChanged(now, view.region(changed.region()), changed.owners(), view);
				}
			}
			case CoordinatorInput.RegionsChanged changed -> this.keyAdmission.setRegions(changed.regions());
			case CoordinatorInput.TimeOfDay time -> this.keyAdmission.setTimeOfDayOffset(time.offset());
		}
		return this.effects.drain();
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		this.slotClient.tick(now, this::onOverdue);
		this.keyAdmission.tick(now, (request) -> this.services.get(request.description.service()));
		return this.effects.drain();
	}

	@Override
	public long nextTick() {
		return Math.min(this.slotClient.nextTick(), this.keyAdmission.nextTick());
	}

	/**
	 * Returns the number of requests that have not ended.
	 * @return the number of requests
	 */
	public int activeRequests() {
		return this.requests.size();
	}

	private void onServiceChanged(CoordinatorInput.ServiceChanged changed) {
		ServiceView view = this.services.get(changed.service().name());
		if (view != null) {
			view.setService(changed.service());
		}
		else {
			this.services.put(changed.service().name(), new ServiceView(changed.service()));
		}
	}

	private void onProxyEvent(long now, RequestEvent event) {
		switch (event) {
			case RequestEvent.Accepted accepted -> onAccepted(now, accepted.request());
			case RequestEvent.AttemptProgress progress -> {
				ActiveRequest request = this.requests.get(progress.request());
				if (request != null && request.state == ActiveRequest.State.ATTEMPTING
						&& request.attempt == progress.attempt()) {
					onAttemptProgress(now, request, progress.report());
				}
			}
			case RequestEvent.CallerLeft left -> {
				ActiveRequest request = this.requests.get(left.request());
				if (request != null) {
					onCallerLeft(now, request);
				}
			}
		}
	}

	private void handleMessage(long now, DaemonId sender, DispatchMessage message) {
		switch (message) {
			case DispatchMessage.SlotGrant grant -> this.slotClient.handleGrant(now, sender, grant);
			case DispatchMessage.SlotQueued queued -> this.slotClient.handleQueued(now, sender, queued);
			case DispatchMessage.SlotRefusal refusal -> this.slotClient.handleRefusal(now, sender, refusal);
			case DispatchMessage.KeyVerdict verdict -> this.keyAdmission.handleVerdict(now, sender, verdict);
			case DispatchMessage.DispatchAdvice advice -> handleAdvice(now, sender, advice);
			default -> {
				// Messages to owners are handled by OwnedServices.
			}
		}
	}

	private void handleAdvice(long now, DaemonId sender, DispatchMessage.DispatchAdvice advice) {
		ServiceView service = this.services.get(advice.service());
		if (service == null) {
			return;
		}
		RegionView view = service.region(this.homeRegion);
		if (sender.equals(view.availableOwner(now, 0))) {
			view.setMode(advice.mode());
			this.effects.add(new DispatchEffect.ApplyAdvice(sender, advice.service(), advice.servers()));
		}
	}

	private void onAccepted(long now, RequestDescription description) {
		if (this.requests.containsKey(description.id())) {
			return;
		}
		ActiveRequest request = new ActiveRequest(description);
		this.requests.put(description.id(), request);
		ServiceView service = this.services.get(description.service());
		if (service != null && description.key() != null && !description.idempotent()) {
			this.keyAdmission.startAdmission(now, request, service);
		}
		else {
			dispatch(now, request);
		}
	}

	private void dispatch(long now, ActiveRequest request) {
		ServiceView service = this.services.get(request.description.service());
		if (service == null) {
			refuse(now, request, Step.ROUTE, RefusalReason.UNKNOWN_SERVICE, 0);
		}
		else {
			this.slotClient.dispatch(now, request, service);
		}
	}

	private void onAttemptProgress(long now, ActiveRequest request, AttemptReport report) {
		switch (report) {
			case AttemptReport.NothingSent nothing -> {
				this.slotClient.finishAttempt(now, request, AttemptResult.CONNECTION_FAILED);
				retryOrRefuse(now, request, RefusalReason.ATTEMPTS_FAILED);
			}
			case AttemptReport.ResponseStarted started -> onResponseStarted(now, request, started);
			case AttemptReport.Completed completed -> onCompleted(now, request, completed.status());
			case AttemptReport.Broken broken -> onBroken(now, request, broken);
		}
	}

	private void onResponseStarted(long now, ActiveRequest request, AttemptReport.ResponseStarted started) {
		ServiceView service = this.services.get(request.description.service());
		if (started.leaving() && request.server != null && request.view != null) {
			request.view.selector().markLeaving(request.server.id());
			this.effects.add(new DispatchEffect.ReportLeaving(request.description.service(), request.server.id()));
		}
		if (request.relaying) {
			return;
		}
		if (started.notRun() && started.status() == STATUS_SERVICE_UNAVAILABLE) {
			abortAttempt(now, request, AttemptResult.SHED);
			request.needsGrant = true;
			if (request.description.replayable() && tryReserveRetry(request, service)) {
				dispatch(now, request);
			}
			else {
				refuse(now, request, Step.AWAIT_RESPONSE, RefusalReason.ATTEMPTS_FAILED, 0);
			}
		}
		else if (started.status() >= STATUS_SERVER_ERROR && tryRetryAfterError(request, service)) {
			request.mayHaveRun = true;
			abortAttempt(now, request, AttemptResult.FAILED);
			dispatch(now, request);
		}
		else {
			request.relaying = true;
			request.mayHaveRun = true;
			this.effects.sendCommand(new ExchangeCommand.Relay(request.id(), request.attempt));
		}
	}

	// Reserves a retry instead of relaying an error response. This is done at most once
	// per request, and only while another server has a free slot.
	private boolean tryRetryAfterError(ActiveRequest request, @Nullable ServiceView service) {
		if (!request.isRetryable() || request.errorResponseRetried || request.view == null
				|| !request.view.selector().hasFreeServer(request.excluded) || !tryReserveRetry(request, service)) {
			return false;
		}
		request.errorResponseRetried = true;
		return true;
	}

	private void onCompleted(long now, ActiveRequest request, int status) {
		ServiceView service = this.services.get(request.description.service());
		if (status < STATUS_SERVER_ERROR && service != null) {
			service.retryBudget().recordSuccess();
		}
		request.mayHaveRun = true;
		this.slotClient.finishAttempt(now, request,
				(status >= STATUS_SERVER_ERROR) ? AttemptResult.FAILED : AttemptResult.SUCCEEDED);
		endRequest(request, new RequestOutcome.Answered(status));
	}

	private void onBroken(long now, ActiveRequest request, AttemptReport.Broken broken) {
		request.mayHaveRun = true;
		this.slotClient.finishAttempt(now, request,
				broken.timedOut() ? AttemptResult.TIMED_OUT : AttemptResult.CONNECTION_FAILED);
		if (broken.responseStarted()) {
			endRequest(request, new RequestOutcome.Unknown(broken.reason()));
			return;
		}
		boolean expired = request.remainingMs(now) == 0;
		ServiceView service = this.services.get(request.description.service());
		if (!expired && request.isRetryable() && tryReserveRetry(request, service)) {
			dispatch(now, request);
		}
		else {
			refuseUnknown(request,
					(broken.timedOut() || expired) ? REASON_DEADLINE_PASSED : REASON_NO_COMPLETE_RESPONSE);
		}
	}

	private void retryOrRefuse(long now, ActiveRequest request, RefusalReason reason) {
		if (request.attempt < MAX_ATTEMPTS) {
			dispatch(now, request);
		}
		else {
			refuse(now, request, Step.CONNECT, reason, 0);
		}
	}

	private boolean tryReserveRetry(ActiveRequest request, @Nullable ServiceView service) {
		return request.attempt < MAX_ATTEMPTS && service != null && service.retryBudget().tryWithdraw();
	}

	private void abortAttempt(long now, ActiveRequest request, AttemptResult result) {
		this.effects.sendCommand(new ExchangeCommand.Abort(request.id(), request.attempt));
		this.slotClient.finishAttempt(now, request, result);
	}

	private void onOverdue(long now, ActiveRequest request) {
		if (request.relaying) {
			return;
		}
		String server = (request.server != null) ? request.server.id().toString() : "";
		this.effects.log(DispatchEvent.REPORT_MISSING, request.attempt, request.id(), server,
				SlotClient.REPORT_GRACE_MS);
		request.mayHaveRun = true;
		abortAttempt(now, request, AttemptResult.TIMED_OUT);
		refuseUnknown(request, REASON_DEADLINE_PASSED);
	}

	private void onCallerLeft(long now, ActiveRequest request) {
		if (request.state == ActiveRequest.State.ATTEMPTING) {
			request.mayHaveRun = true;
			abortAttempt(now, request, AttemptResult.ABANDONED);
		}
		else if (request.state == ActiveRequest.State.ACQUIRING) {
			this.slotClient.cancelSlotRequest(request);
		}
		endRequest(request, request.mayHaveRun ? new RequestOutcome.Unknown(REASON_NO_COMPLETE_RESPONSE)
				: new RequestOutcome.NotRun(RefusalReason.CALLER_LEFT.text(), 0));
	}

	private void refuse(long now, ActiveRequest request, Step step, RefusalReason reason, long retryAfterMs) {
		if (request.mayHaveRun) {
			refuseUnknown(request,
					(request.remainingMs(now) == 0) ? REASON_DEADLINE_PASSED : REASON_NO_COMPLETE_RESPONSE);
			return;
		}
		RequestOutcome outcome = new RequestOutcome.NotRun(reason.text(), retryAfterMs);
		this.refusalRecorder.recordRefusal(now, request.description.service(), step, reason.text(), this.effects);
		this.effects.sendCommand(new ExchangeCommand.Refuse(request.id(), outcome));
		endRequest(request, outcome);
	}

	private void refuseUnknown(ActiveRequest request, String reason) {
		RequestOutcome outcome = new RequestOutcome.Unknown(reason);
		this.effects.sendCommand(new ExchangeCommand.Refuse(request.id(), outcome));
		endRequest(request, outcome);
	}

	private void endRequest(ActiveRequest request, RequestOutcome outcome) {
		this.requests.remove(request.id());
		request.state = ActiveRequest.State.NEW;
		this.keyAdmission.reportResult(request, switch (outcome) {
			case RequestOutcome.Answered answered -> new KeyResult(KeyResult.Execution.ANSWERED, answered.status());
			case RequestOutcome.NotRun _ -> new KeyResult(KeyResult.Execution.NOT_RUN, 0);
			case RequestOutcome.Unknown _ -> new KeyResult(KeyResult.Execution.UNKNOWN, 0);
		});
		this.effects.add(new DispatchEffect.Ended(request.id(), outcome));
	}

	private final class AdmissionListener implements KeyAdmission.Listener {

		@Override
		public void onAdmitted(long now, ActiveRequest request) {
			dispatch(now, request);
		}

		@Override
		public void onSeen(ActiveRequest request, @Nullable KeyResult outcome) {
			boolean answered = outcome != null && outcome.execution() == KeyResult.Execution.ANSWERED;
			refuseUnknown(request, answered ? REASON_DUPLICATE_ANSWERED + outcome.status() : REASON_DUPLICATE);
		}

		@Override
		public void onCannotVouch(ActiveRequest request) {
			refuseUnknown(request, REASON_POSSIBLE_DUPLICATE);
		}

		@Override
		public void onRefused(long now, ActiveRequest request, RefusalReason reason) {
			refuse(now, request, Step.REGISTER, reason, 0);
		}

	}

}
