package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.Step;
import org.wigeonmast.dispatch.AttemptResult;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.DispatchEvent;
import org.wigeonmast.dispatch.DispatchMessage.AttemptOutcome;
import org.wigeonmast.dispatch.DispatchMessage.SlotCancel;
import org.wigeonmast.dispatch.DispatchMessage.SlotGrant;
import org.wigeonmast.dispatch.DispatchMessage.SlotQueued;
import org.wigeonmast.dispatch.DispatchMessage.SlotRefusal;
import org.wigeonmast.dispatch.DispatchMessage.SlotRelease;
import org.wigeonmast.dispatch.DispatchMessage.SlotRequest;
import org.wigeonmast.dispatch.DispatchMode;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RefusalReason;
import org.wigeonmast.health.Observation;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.WorkClass;

/**
 * The entry daemon's side of slot allocation: obtains a slot for each attempt, either by
 * selecting a server itself or from an owner, and accounts for it until the attempt has
 * ended.
 * <p>
 * Thread safety: none. Invariants: a ticket is used for at most one attempt, so a late or
 * duplicate grant starts none; the deadline is checked just before each attempt.
 */
public final class SlotClient {

	/**
	 * Time in milliseconds without a reply after which the next owner in rank is tried.
	 */
	public static final long OWNER_TIMEOUT_MS = 50;

	/**
	 * Time in milliseconds without a reply from an owner in another region; the round
	 * trip between regions takes 40 ms.
	 */
	public static final long REMOTE_OWNER_TIMEOUT_MS = 150;

	/**
	 * Time in milliseconds after which the request for a slot is sent again while it
	 * waits in the queue of its owner.
	 */
	public static final long QUEUE_CHECK_INTERVAL_MS = 500;

	/**
	 * Time in milliseconds after the deadline at which the proxy must have reported the
	 * end of an attempt.
	 */
	public static final long REPORT_GRACE_MS = 500;

	private static final long DIRECT_REPORT_INTERVAL_MS = 100;

	private static final long GRANTED_REPORT_INTERVAL_MS = 1000;

	/**
	 * Maximum number of attempts in flight per slot while no owner allocates the slots.
	 */
	private static final int MAX_ATTEMPTS_PER_SLOT_WITHOUT_OWNER = 4;

	private final DaemonId self;

	private final Region homeRegion;

	private final RandomGenerator random;

	private final EffectBuffer effects;

	private final RefusalHandler refusalHandler;

	private final Map<Long, ActiveRequest> requestsByTicket = new HashMap<>();

	private final TimerQueue<ActiveRequest> timers = new TimerQueue<>();

	private final TimerQueue<RegionView> reportTimers = new TimerQueue<>();

	private long nextTicket = 1;

	/**
	 * Creates a client.
	 * @param self this daemon
	 * @param homeRegion the region in which this daemon runs
	 * @param random the source of random numbers for server selection
	 * @param effects receives the effects
	 * @param refusalHandler called for requests that get no slot
	 */
	public SlotClient(DaemonId self, Region homeRegion, RandomGenerator random, EffectBuffer effects,
			RefusalHandler refusalHandler) {
		this.self = self;
		this.homeRegion = homeRegion;
		this.random = random;
		this.effects = effects;
		this.refusalHandler = refusalHandler;
	}

	/**
	 * Starts the next attempt of a request, requests a slot for it, or refuses the
	 * request.
	 * @param now the current monotonic time in milliseconds
	 * @param request a request without an attempt in flight
	 * @param service the view of its service
	 */
	public void dispatch(long now, ActiveRequest request, ServiceView service) {
		if (refuseIfExpired(now, request)) {
			return;
		}
		RegionView view = service.region(this.homeRegion);
		request.ownersTried = 0;
		boolean requiresGrant = request.needsGrant || view.mode() == DispatchMode.GRANTED
				|| request.description.workClass() == WorkClass.LONG;
		if (!requiresGrant || !tryAcquire(now, request, view)) {
			dispatchDirectly(now, request, view);
		}
	}

	/**
	 * Handles the grant of a slot.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param grant the grant
	 */
	public void handleGrant(long now, DaemonId sender, SlotGrant grant) {
		ActiveRequest request = this.requestsByTicket.get(grant.ticket());
		if (request == null || !sender.equals(request.owner)) {
			this.effects.send(sender, new SlotCancel(grant.service(), grant.ticket()));
			return;
		}
		RegionView view = request.view;
		if (request.state != ActiveRequest.State.ACQUIRING || view == null) {
			return;
		}
		view.markReplied(sender);
		BackendServer server = view.selector().usableServer(grant.server());
		if (server == null) {
			cancelSlotRequest(request);
			request.excluded.add(grant.server());
			request.ownersTried = 0;
			if (!refuseIfExpired(now, request) && !tryAcquire(now, request, view)) {
				dispatchDirectly(now, request, view);
			}
			return;
		}
		if (request.remainingMs(now) == 0) {
			cancelSlotRequest(request);
			refuseIfExpired(now, request);
			return;
		}
		startAttempt(now, request, view, server);
	}

	/**
	 * Handles the confirmation that a request waits in the queue of an owner.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param queued the confirmation
	 */
	public void handleQueued(long now, DaemonId sender, SlotQueued queued) {
		ActiveRequest request = findWaiting(sender, queued.ticket());
		if (request != null && request.view != null) {
			request.view.markReplied(sender);
			request.queuedAtOwner = true;
			scheduleTimer(request, Math.min(now + QUEUE_CHECK_INTERVAL_MS, request.description.deadline()));
		}
	}

	/**
	 * Handles the refusal of a slot.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param refusal the refusal
	 */
	public void handleRefusal(long now, DaemonId sender, SlotRefusal refusal) {
		ActiveRequest request = findWaiting(sender, refusal.ticket());
		if (request != null && request.view != null) {
			request.view.markReplied(sender);
			removeTicket(request);
			this.refusalHandler.refuse(now, request, Step.QUEUE, refusal.reason(), refusal.retryAfter());
		}
	}

	/**
	 * Moves requests that wait in the queue of a former owner to the new one and reports
	 * the slots that this daemon holds to the new owner.
	 * @param now the current monotonic time in milliseconds
	 * @param view the view of the region
	 * @param owners the live daemons in rank order
	 * @param service the view of the service
	 */
	public void onOwnersChanged(long now, RegionView view, List<DaemonId> owners, ServiceView service) {
		DaemonId previousOwner = view.availableOwner(now, 0);
		view.setOwners(owners);
		DaemonId newOwner = view.availableOwner(now, 0);
		if (newOwner == null || newOwner.equals(previousOwner)) {
			return;
		}
		for (ActiveRequest request : new ArrayList<>(view.tickets().values())) {
			if (request.state == ActiveRequest.State.ACQUIRING && !newOwner.equals(request.owner)) {
				cancelSlotRequest(request);
				dispatch(now, request, service);
			}
		}
		if (!view.tickets().isEmpty()) {
			scheduleReport(view, now);
		}
	}

	/**
	 * Ends the accounting for the attempt in flight.
	 * @param now the current monotonic time in milliseconds
	 * @param request the request
	 * @param result the result of the attempt
	 */
	public void finishAttempt(long now, ActiveRequest request, AttemptResult result) {
		RegionView view = request.view;
		BackendServer server = request.server;
		if (view == null || server == null) {
			return;
		}
		long durationMs = now - request.startedAtMs;
		WorkClass workClass = request.description.workClass();
		AttemptOutcome outcome = new AttemptOutcome(server.id(), workClass, result, durationMs);
		view.selector().adjustInFlight(server.id(), -1);
		if (request.owner != null) {
			this.effects.send(request.owner, new SlotRelease(view.service(), request.ticket, outcome));
		}
		else {
			view.addOutcome(outcome);
			// A shed request is reported at once, because it shows that grants are
			// needed.
			scheduleReport(view, (result == AttemptResult.SHED) ? now : now + DIRECT_REPORT_INTERVAL_MS);
		}
		if (result.observation() != null) {
			this.effects.add(new DispatchEffect.ReportObservation(new Observation(view.service(), server.id(),
					workClass, this.self, result.observation(), durationMs)));
		}
		removeTicket(request);
	}

	/**
	 * Cancels the request for a slot and the ticket.
	 * @param request the request
	 */
	public void cancelSlotRequest(ActiveRequest request) {
		if (request.owner != null && request.view != null) {
			this.effects.send(request.owner, new SlotCancel(request.view.service(), request.ticket));
		}
		removeTicket(request);
	}

	/**
	 * Handles the timers that are due.
	 * @param now the current monotonic time in milliseconds
	 * @param overdueHandler called for requests whose attempt was not reported in time
	 */
	public void tick(long now, OverdueHandler overdueHandler) {
		for (ActiveRequest request = this.timers.poll(now); request != null; request = this.timers.poll(now)) {
			if (request.timerMs > now) {
				continue;
			}
			if (request.state == ActiveRequest.State.ACQUIRING) {
				onTimeout(now, request);
			}
			else if (request.state == ActiveRequest.State.ATTEMPTING) {
				overdueHandler.onOverdue(now, request);
			}
		}
		for (RegionView view = this.reportTimers.poll(now); view != null; view = this.reportTimers.poll(now)) {
			if (view.nextReportMs() <= now) {
				sendReport(now, view);
			}
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return Math.min(this.timers.nextTimerMs(), this.reportTimers.nextTimerMs());
	}

	private void onTimeout(long now, ActiveRequest request) {
		RegionView view = request.view;
		DaemonId owner = request.owner;
		if (view == null || owner == null) {
			return;
		}
		if (request.remainingMs(now) == 0) {
			cancelSlotRequest(request);
			refuseIfExpired(now, request);
		}
		else if (request.queuedAtOwner) {
			sendSlotRequest(now, request, view, owner);
		}
		else {
			long timeoutMs = ownerTimeoutMs(view);
			view.markSilent(now, owner);
			this.effects.log(DispatchEvent.OWNER_SILENT, owner, view.service(), timeoutMs);
			cancelSlotRequest(request);
			if (!tryAcquire(now, request, view)) {
				dispatchDirectly(now, request, view);
			}
		}
	}

	private boolean tryAcquire(long now, ActiveRequest request, RegionView view) {
		DaemonId owner = view.availableOwner(now, request.ownersTried);
		if (owner == null) {
			return false;
		}
		request.state = ActiveRequest.State.ACQUIRING;
		request.ownersTried = view.owners().indexOf(owner) + 1;
		assignTicket(request, view, owner);
		sendSlotRequest(now, request, view, owner);
		return true;
	}

	private void sendSlotRequest(long now, ActiveRequest request, RegionView view, DaemonId owner) {
		request.queuedAtOwner = false;
		boolean spilled = !view.region().equals(this.homeRegion);
		this.effects.send(owner,
				new SlotRequest(request.ticket, view.service(), request.description.workClass(),
						request.description.caller(), request.remainingMs(now), request.description.idempotent(),
						spilled, List.copyOf(request.excluded)));
		scheduleTimer(request, Math.min(now + ownerTimeoutMs(view), request.description.deadline()));
	}

	private long ownerTimeoutMs(RegionView view) {
		return view.region().equals(this.homeRegion) ? OWNER_TIMEOUT_MS : REMOTE_OWNER_TIMEOUT_MS;
	}

	private void dispatchDirectly(long now, ActiveRequest request, RegionView view) {
		boolean idempotent = request.description.idempotent();
		BackendServer server = view.selector().select(idempotent, request.excluded, 1, this.random);
		if (server == null && request.ownersTried == 0 && tryAcquire(now, request, view)) {
			return;
		}
		if (server == null) {
			server = view.selector()
				.select(idempotent, request.excluded, MAX_ATTEMPTS_PER_SLOT_WITHOUT_OWNER, this.random);
		}
		if (server == null) {
			RefusalReason reason = request.excluded.isEmpty() ? RefusalReason.NO_SERVER : RefusalReason.ATTEMPTS_FAILED;
			this.refusalHandler.refuse(now, request, Step.ACQUIRE_SLOT, reason, 0);
			return;
		}
		assignTicket(request, view, null);
		startAttempt(now, request, view, server);
	}

	private void startAttempt(long now, ActiveRequest request, RegionView view, BackendServer server) {
		request.state = ActiveRequest.State.ATTEMPTING;
		request.attempt++;
		request.server = server;
		request.startedAtMs = now;
		request.relaying = false;
		request.excluded.add(server.id());
		view.selector().adjustInFlight(server.id(), 1);
		long deadlineMs = request.description.deadline();
		scheduleTimer(request, deadlineMs + REPORT_GRACE_MS);
		scheduleReport(view, now + ((request.owner != null) ? GRANTED_REPORT_INTERVAL_MS : DIRECT_REPORT_INTERVAL_MS));
		ConnectionRequirement requirement = request.description.idempotent() ? ConnectionRequirement.ANY
				: ConnectionRequirement.PROVEN;
		this.effects.sendCommand(
				new ExchangeCommand.StartAttempt(request.id(), request.attempt, server, requirement, deadlineMs));
	}

	private boolean refuseIfExpired(long now, ActiveRequest request) {
		if (request.remainingMs(now) > 0) {
			return false;
		}
		this.refusalHandler.refuse(now, request, Step.ACQUIRE_SLOT, RefusalReason.DEADLINE_EXPIRED, 0);
		return true;
	}

	private void assignTicket(ActiveRequest request, RegionView view, @Nullable DaemonId owner) {
		request.ticket = this.nextTicket++;
		request.view = view;
		request.owner = owner;
		view.tickets().put(request.ticket, request);
		this.requestsByTicket.put(request.ticket, request);
	}

	private void removeTicket(ActiveRequest request) {
		if (request.view != null) {
			request.view.tickets().remove(request.ticket);
		}
		this.requestsByTicket.remove(request.ticket);
		request.state = ActiveRequest.State.NEW;
		request.owner = null;
		request.view = null;
		request.server = null;
		request.timerMs = Long.MAX_VALUE;
	}

	private @Nullable ActiveRequest findWaiting(DaemonId sender, long ticket) {
		ActiveRequest request = this.requestsByTicket.get(ticket);
		boolean matches = request != null && request.state == ActiveRequest.State.ACQUIRING
				&& sender.equals(request.owner);
		return matches ? request : null;
	}

	private void scheduleTimer(ActiveRequest request, long timeMs) {
		request.timerMs = timeMs;
		this.timers.add(timeMs, request);
	}

	private void scheduleReport(RegionView view, long timeMs) {
		if (timeMs < view.nextReportMs()) {
			view.setNextReportMs(timeMs);
			this.reportTimers.add(timeMs, view);
		}
	}

	private void sendReport(long now, RegionView view) {
		view.setNextReportMs(Long.MAX_VALUE);
		DaemonId owner = view.availableOwner(now, 0);
		if (owner != null) {
			this.effects.send(owner, view.buildReport(now, this.nextTicket));
		}
		boolean direct = view.tickets().values().stream().anyMatch((request) -> request.owner == null);
		if (!view.tickets().isEmpty()) {
			scheduleReport(view, now + (direct ? DIRECT_REPORT_INTERVAL_MS : GRANTED_REPORT_INTERVAL_MS));
		}
	}

	/**
	 * Handler of requests that get no slot.
	 */
	public interface RefusalHandler {

		/**
		 * Ends a request that has no attempt in flight.
		 * @param now the current monotonic time in milliseconds
		 * @param request the request
		 * @param step the step at which it was refused
		 * @param reason the reason
		 * @param retryAfterMs the advised delay before a retry in milliseconds, 0 for
		 * none
		 */
		void refuse(long now, ActiveRequest request, Step step, RefusalReason reason, long retryAfterMs);

	}

	/**
	 * Handler of requests whose attempt was not reported in time.
	 */
	public interface OverdueHandler {

		/**
		 * Ends a request with an attempt in flight.
		 * @param now the current monotonic time in milliseconds
		 * @param request the request
		 */
		void onOverdue(long now, ActiveRequest request);

	}

}
