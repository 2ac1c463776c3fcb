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
	public static final long OWNER_TIMEOUT = 50;

	/**
	 * Time in milliseconds without a reply from an owner in another region; the round
	 * trip between regions takes 40 ms.
	 */
	public static final long REMOTE_OWNER_TIMEOUT = 150;

	/**
	 * Time in milliseconds after which the request for a slot is sent again while it
	 * waits in the queue of its owner.
	 */
	public static final long QUEUE_CHECK = 500;

	/**
	 * Time in milliseconds after the deadline at which the proxy must have reported the
	 * end of an attempt.
	 */
	public static final long REPORT_GRACE = 500;

	private static final long DIRECT_REPORT_INTERVAL = 100;

	private static final long GRANTED_REPORT_INTERVAL = 1000;

	/**
	 * Maximum number of attempts in flight per slot while no owner allocates the slots.
	 */
	private static final int UNSHARED_LIMIT = 4;

	private final DaemonId self;

	private final Region home;

	private final RandomGenerator random;

	private final EffectBuffer effects;

	private final RefusalHandler refuser;

	private final Map<Long, ActiveRequest> byTicket = new HashMap<>();

	private final TimerQueue<ActiveRequest> wakeups = new TimerQueue<>();

	private final TimerQueue<RegionView> reports = new TimerQueue<>();

	private long nextTicket = 1;

	/**
	 * Creates a client.
	 * @param self this daemon
	 * @param home the region in which this daemon runs
	 * @param random the source of random numbers for server selection
	 * @param effects receives the effects
	 * @param refuser called for requests that get no slot
	 */
	public SlotClient(DaemonId self, Region home, RandomGenerator random, EffectBuffer effects,
			RefusalHandler refuser) {
		this.self = self;
		this.home = home;
		this.random = random;
		this.effects = effects;
		this.refuser = refuser;
	}

	/**
	 * Starts the next attempt of a request, requests a slot for it, or refuses the
	 * request.
	 * @param now the current monotonic time in milliseconds
	 * @param request a request without an attempt in flight
	 * @param service the view of its service
	 */
	public void dispatch(long now, ActiveRequest request, ServiceView service) {
		if (expired(now, request)) {
			return;
		}
		RegionView view = service.region(this.home);
		request.ownersTried = 0;
		boolean granted = request.needsGrant || view.mode() == DispatchMode.GRANTED
				|| request.description.workClass() == WorkClass.LONG;
		if (!granted || !acquire(now, request, view)) {
			direct(now, request, view);
		}
	}

	/**
	 * Handles the grant of a slot.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param grant the grant
	 */
	public void granted(long now, DaemonId sender, SlotGrant grant) {
		ActiveRequest request = this.byTicket.get(grant.ticket());
		if (request == null || !sender.equals(request.owner)) {
			this.effects.send(sender, new SlotCancel(grant.service(), grant.ticket()));
			return;
		}
		RegionView view = request.view;
		if (request.state != ActiveRequest.State.ACQUIRING || view == null) {
			return;
		}
		view.markReplied(sender);
		BackendServer server = view.selector().usable(grant.server());
		if (server == null) {
			withdraw(request);
			request.excluded.add(grant.server());
			request.ownersTried = 0;
			if (!expired(now, request) && !acquire(now, request, view)) {
				direct(now, request, view);
			}
			return;
		}
		if (request.remainingMs(now) == 0) {
			withdraw(request);
			expired(now, request);
			return;
		}
		start(now, request, view, server);
	}

	/**
	 * Handles the confirmation that a request waits in the queue of an owner.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param queued the confirmation
	 */
	public void queued(long now, DaemonId sender, SlotQueued queued) {
		ActiveRequest request = waiting(sender, queued.ticket());
		if (request != null && request.view != null) {
			request.view.markReplied(sender);
			request.queuedAtOwner = true;
			wakeAt(request, Math.min(now + QUEUE_CHECK, request.description.deadline()));
		}
	}

	/**
	 * Handles the refusal of a slot.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the owner
	 * @param refusal the refusal
	 */
	public void refused(long now, DaemonId sender, SlotRefusal refusal) {
		ActiveRequest request = waiting(sender, refusal.ticket());
		if (request != null && request.view != null) {
			request.view.markReplied(sender);
			forget(request);
			this.refuser.refuse(now, request, Step.QUEUE, refusal.reason(), refusal.retryAfter());
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
	public void ownersChanged(long now, RegionView view, List<DaemonId> owners, ServiceView service) {
		DaemonId before = view.owner(now, 0);
		view.setOwners(owners);
		DaemonId after = view.owner(now, 0);
		if (after == null || after.equals(before)) {
			return;
		}
		for (ActiveRequest request : new ArrayList<>(view.tickets().values())) {
			if (request.state == ActiveRequest.State.ACQUIRING && !after.equals(request.owner)) {
				withdraw(request);
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
	public void finish(long now, ActiveRequest request, AttemptResult result) {
		RegionView view = request.view;
		BackendServer server = request.server;
		if (view == null || server == null) {
			return;
		}
		long duration = now - request.startedAtMs;
		WorkClass workClass = request.description.workClass();
		AttemptOutcome outcome = new AttemptOutcome(server.id(), workClass, result, duration);
		view.selector().count(server.id(), -1);
		if (request.owner != null) {
			this.effects.send(request.owner, new SlotRelease(view.service(), request.ticket, outcome));
		}
		else {
			view.addOutcome(outcome);
			// A shed request is reported at once, because it shows that grants are
			// needed.
			scheduleReport(view, (result == AttemptResult.SHED) ? now : now + DIRECT_REPORT_INTERVAL);
		}
		if (result.observation() != null) {
			this.effects.add(new DispatchEffect.ReportObservation(new Observation(view.service(), server.id(),
					workClass, this.self, result.observation(), duration)));
		}
		forget(request);
	}

	/**
	 * Cancels the request for a slot and the ticket.
	 * @param request the request
	 */
	public void withdraw(ActiveRequest request) {
		if (request.owner != null && request.view != null) {
			this.effects.send(request.owner, new SlotCancel(request.view.service(), request.ticket));
		}
		forget(request);
	}

	/**
	 * Handles the timers that are due.
	 * @param now the current monotonic time in milliseconds
	 * @param overdue called for requests whose attempt was not reported in time
	 */
	public void tick(long now, OverdueHandler overdue) {
		for (ActiveRequest request = this.wakeups.poll(now); request != null; request = this.wakeups.poll(now)) {
			if (request.timerMs > now) {
				continue;
			}
			if (request.state == ActiveRequest.State.ACQUIRING) {
				waited(now, request);
			}
			else if (request.state == ActiveRequest.State.ATTEMPTING) {
				overdue.overdue(now, request);
			}
		}
		for (RegionView view = this.reports.poll(now); view != null; view = this.reports.poll(now)) {
			if (view.reportAt() <= now) {
				report(now, view);
			}
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return Math.min(this.wakeups.next(), this.reports.next());
	}

	private void waited(long now, ActiveRequest request) {
		RegionView view = request.view;
		DaemonId owner = request.owner;
		if (view == null || owner == null) {
			return;
		}
		if (request.remainingMs(now) == 0) {
			withdraw(request);
			expired(now, request);
		}
		else if (request.queuedAtOwner) {
			ask(now, request, view, owner);
		}
		else {
			long timeout = ownerTimeout(view);
			view.markSilent(now, owner);
			this.effects.log(DispatchEvent.OWNER_SILENT, owner, view.service(), timeout);
			withdraw(request);
			if (!acquire(now, request, view)) {
				direct(now, request, view);
			}
		}
	}

	private boolean acquire(long now, ActiveRequest request, RegionView view) {
		DaemonId owner = view.owner(now, request.ownersTried);
		if (owner == null) {
			return false;
		}
		request.state = ActiveRequest.State.ACQUIRING;
		request.ownersTried = view.owners().indexOf(owner) + 1;
		hold(request, view, owner);
		ask(now, request, view, owner);
		return true;
	}

	private void ask(long now, ActiveRequest request, RegionView view, DaemonId owner) {
		request.queuedAtOwner = false;
		boolean spilled = !view.region().equals(this.home);
		this.effects.send(owner,
				new SlotRequest(request.ticket, view.service(), request.description.workClass(),
						request.description.caller(), request.remainingMs(now), request.description.idempotent(),
						spilled, List.copyOf(request.excluded)));
		wakeAt(request, Math.min(now + ownerTimeout(view), request.description.deadline()));
	}

	private long ownerTimeout(RegionView view) {
		return view.region().equals(this.home) ? OWNER_TIMEOUT : REMOTE_OWNER_TIMEOUT;
	}

	private void direct(long now, ActiveRequest request, RegionView view) {
		boolean idempotent = request.description.idempotent();
		BackendServer server = view.selector().choose(idempotent, request.excluded, 1, this.random);
		if (server == null && request.ownersTried == 0 && acquire(now, request, view)) {
			return;
		}
		if (server == null) {
			server = view.selector().choose(idempotent, request.excluded, UNSHARED_LIMIT, this.random);
		}
		if (server == null) {
			RefusalReason reason = request.excluded.isEmpty() ? RefusalReason.NO_SERVER : RefusalReason.ATTEMPTS_FAILED;
			this.refuser.refuse(now, request, Step.ACQUIRE_SLOT, reason, 0);
			return;
		}
		hold(request, view, null);
		start(now, request, view, server);
	}

	private void start(long now, ActiveRequest request, RegionView view, BackendServer server) {
		request.state = ActiveRequest.State.ATTEMPTING;
		request.attempt++;
		request.server = server;
		request.startedAtMs = now;
		request.relaying = false;
		request.excluded.add(server.id());
		view.selector().count(server.id(), 1);
		long deadline = request.description.deadline();
		wakeAt(request, deadline + REPORT_GRACE);
		scheduleReport(view, now + ((request.owner != null) ? GRANTED_REPORT_INTERVAL : DIRECT_REPORT_INTERVAL));
		ConnectionRequirement requirement = request.description.idempotent() ? ConnectionRequirement.ANY
				: ConnectionRequirement.PROVEN;
		this.effects
			.exchange(new ExchangeCommand.StartAttempt(request.id(), request.attempt, server, requirement, deadline));
	}

	private boolean expired(long now, ActiveRequest request) {
		if (request.remainingMs(now) > 0) {
			return false;
		}
		this.refuser.refuse(now, request, Step.ACQUIRE_SLOT, RefusalReason.DEADLINE_EXPIRED, 0);
		return true;
	}

	private void hold(ActiveRequest request, RegionView view, @Nullable DaemonId owner) {
		request.ticket = this.nextTicket++;
		request.view = view;
		request.owner = owner;
		view.tickets().put(request.ticket, request);
		this.byTicket.put(request.ticket, request);
	}

	private void forget(ActiveRequest request) {
		if (request.view != null) {
			request.view.tickets().remove(request.ticket);
		}
		this.byTicket.remove(request.ticket);
		request.state = ActiveRequest.State.NEW;
		request.owner = null;
		request.view = null;
		request.server = null;
		request.timerMs = Long.MAX_VALUE;
	}

	private @Nullable ActiveRequest waiting(DaemonId sender, long ticket) {
		ActiveRequest request = this.byTicket.get(ticket);
		boolean matches = request != null && request.state == ActiveRequest.State.ACQUIRING
				&& sender.equals(request.owner);
		return matches ? request : null;
	}

	private void wakeAt(ActiveRequest request, long time) {
		request.timerMs = time;
		this.wakeups.add(time, request);
	}

	private void scheduleReport(RegionView view, long time) {
		if (time < view.reportAt()) {
			view.setReportAt(time);
			this.reports.add(time, view);
		}
	}

	private void report(long now, RegionView view) {
		view.setReportAt(Long.MAX_VALUE);
		DaemonId owner = view.owner(now, 0);
		if (owner != null) {
			this.effects.send(owner, view.report(now, this.nextTicket));
		}
		boolean direct = view.tickets().values().stream().anyMatch((request) -> request.owner == null);
		if (!view.tickets().isEmpty()) {
			scheduleReport(view, now + (direct ? DIRECT_REPORT_INTERVAL : GRANTED_REPORT_INTERVAL));
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
		 * @param retryAfter the advised delay before a retry in milliseconds, 0 for none
		 */
		void refuse(long now, ActiveRequest request, Step step, RefusalReason reason, long retryAfter);

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
		void overdue(long now, ActiveRequest request);

	}

}
