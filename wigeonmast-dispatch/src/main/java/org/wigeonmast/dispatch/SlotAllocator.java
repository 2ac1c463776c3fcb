package org.wigeonmast.dispatch;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.dispatch.DispatchMessage.AttemptOutcome;
import org.wigeonmast.dispatch.DispatchMessage.HeldSlot;
import org.wigeonmast.dispatch.DispatchMessage.OutcomeReport;
import org.wigeonmast.dispatch.DispatchMessage.SlotRequest;
import org.wigeonmast.dispatch.internal.EffectBuffer;
import org.wigeonmast.dispatch.internal.FairQueue;
import org.wigeonmast.dispatch.internal.GrantRegistry;
import org.wigeonmast.dispatch.internal.ServerSlots;
import org.wigeonmast.dispatch.internal.TimerQueue;
import org.wigeonmast.dispatch.internal.UtilizationEstimator;
import org.wigeonmast.dispatch.internal.WaitingRequest;
import org.wigeonmast.dispatch.internal.WaitingRequest.Ticket;
import org.wigeonmast.health.Observation;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * Allocator of the slots of one service's backend servers in one region; it runs on their
 * owner.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: an allocator never grants
 * more slots of a server than are usable, except for one grant ahead while requests queue
 * and for work that daemons report as already running; a slot becomes free only when its
 * daemon returned it, reported that it neither holds nor waits for it, or was declared
 * dead, or when the lease ended.
 */
public final class SlotAllocator implements Component<AllocatorInput, DispatchEffect> {

	/**
	 * The share of a request's remaining time for which it may wait in the queue. A
	 * refusal then leaves the caller at least half of its time to try elsewhere.
	 */
	public static final double WAIT_SHARE = 0.5;

	/** Time in milliseconds from the request's deadline to the end of the lease. */
	public static final long LEASE_MARGIN = 1000;

	private static final long ADVICE_INTERVAL = 1000;

	private static final long FORGET_DAEMON_AFTER = 10_000;

	private static final long METER_INTERVAL = 200;

	private final EffectBuffer effects = new EffectBuffer();

	private final GrantRegistry book = new GrantRegistry();

	private final Map<WorkClass, FairQueue> queues = new EnumMap<>(WorkClass.class);

	private final TimerQueue<Ticket> refusals = new TimerQueue<>();

	private final Map<DaemonId, Long> heardFrom = new HashMap<>();

	private final Region region;

	private final UtilizationEstimator meter;

	private List<DispatchMessage.AdvisedServer> advised = List.of();

	private Service service;

	private DispatchMode advisedMode = DispatchMode.GRANTED;

	private long nextMeter;

	private long nextAdvice;

	private long sequence;

	/**
	 * Creates an allocator without grants.
	 * @param now the current monotonic time in milliseconds
	 * @param service the service
	 * @param region the region whose servers it allocates
	 * @param order the order in which queued requests of one caller are served
	 */
	public SlotAllocator(long now, Service service, Region region, QueueOrder order) {
		this.service = service;
		this.region = region;
		this.meter = new UtilizationEstimator(now);
		this.nextMeter = now + METER_INTERVAL;
		this.nextAdvice = now + ADVICE_INTERVAL;
		for (WorkClass workClass : WorkClass.values()) {
			this.queues.put(workClass, new FairQueue(order));
		}
		setServers();
	}

	@Override
	public List<DispatchEffect> handle(long now, AllocatorInput input) {
		switch (input) {
			case AllocatorInput.Received received -> received(now, received.sender(), received.message());
			case AllocatorInput.ServiceChanged changed -> {
				this.service = changed.service();
				setServers();
			}
			case AllocatorInput.HealthChanged changed -> healthChanged(now, changed.servers());
			case AllocatorInput.DaemonDead dead -> daemonDead(now, dead.daemon());
		}
		serve(now);
		adviseOnChange(now);
		return this.effects.drain();
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		for (GrantRegistry.Grant grant = this.book.pollExpired(now); grant != null; grant = this.book
			.pollExpired(now)) {
			returned(now, grant);
		}
		for (Ticket ticket = this.refusals.poll(now); ticket != null; ticket = this.refusals.poll(now)) {
			waitedTooLong(now, ticket);
		}
		if (now >= this.nextMeter) {
			this.meter.update(now, this.book.usableSlots());
			this.nextMeter = now + METER_INTERVAL;
		}
		serve(now);
		adviseOnChange(now);
		if (now >= this.nextAdvice) {
			this.heardFrom.values().removeIf((time) -> now - time > FORGET_DAEMON_AFTER);
			this.nextAdvice = now + ADVICE_INTERVAL;
			if (!this.advised.isEmpty()) {
				advise();
			}
		}
		return this.effects.drain();
	}

	@Override
	public long nextTick() {
		long timers = Math.min(this.book.nextLeaseEnd(), this.refusals.next());
		// Without daemons there are no requests, so neither the estimate nor the advice
		// needs updates.
		return this.heardFrom.isEmpty() ? timers : Math.min(timers, Math.min(this.nextMeter, this.nextAdvice));
	}

	/**
	 * Returns the dispatch mode for short work.
	 * @return the mode
	 */
	public DispatchMode mode() {
		return this.meter.mode();
	}

	/**
	 * Returns whether no request waits and no slot is held, so that the allocator can be
	 * discarded.
	 * @return whether it is idle
	 */
	public boolean idle() {
		return waiting() == 0 && this.book.isEmpty();
	}

	/**
	 * Returns the estimated utilization.
	 * @return the share of the usable slots that is in use
	 */
	public double utilization() {
		return this.meter.estimate();
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	public int waiting() {
		return this.queues.values().stream().mapToInt(FairQueue::size).sum();
	}

	private void received(long now, DaemonId sender, DispatchMessage message) {
		if (this.heardFrom.put(sender, now) == null) {
			this.effects.send(sender, advice());
			// Ticks do not update the estimate while no daemon is known.
			this.nextMeter = Math.min(this.nextMeter, now + METER_INTERVAL);
		}
		switch (message) {
			case SlotRequest request -> requested(now, new Ticket(sender, request.ticket()), request);
			case DispatchMessage.SlotCancel cancel -> {
				Ticket ticket = new Ticket(sender, cancel.ticket());
				this.queues.values().forEach((queue) -> queue.remove(ticket));
				release(now, ticket);
			}
			case DispatchMessage.SlotRelease release -> {
				if (release(now, new Ticket(sender, release.ticket()))) {
					learn(sender, release.outcome());
				}
			}
			case OutcomeReport report -> reported(now, sender, report);
			default -> {
				// Messages to entry daemons and about keys are handled by other
				// components.
			}
		}
	}

	private void requested(long now, Ticket ticket, SlotRequest request) {
		GrantRegistry.Grant grant = this.book.get(ticket);
		FairQueue queue = this.queues.get(request.workClass());
		if (grant != null) {
			long lease = Math.max(0, grant.leaseEnd() - now);
			this.effects.send(ticket.daemon(),
					new DispatchMessage.SlotGrant(this.service.name(), ticket.number(), grant.server(), lease));
			return;
		}
		WaitingRequest known = queue.get(ticket);
		if (known != null) {
			queued(ticket, request);
			return;
		}
		if (!this.book.possible(request.idempotent(), request.excluded())) {
			refuse(ticket, RefusalReason.NO_SERVER, 0);
			return;
		}
		double wait = expectedWait(request, queue);
		long limit = (long) (request.remaining() * WAIT_SHARE);
		if (wait > limit || wait + duration(request.workClass()) > request.remaining()) {
			refuse(ticket, RefusalReason.OVERLOADED, Math.max(1, Math.round(wait)));
			return;
		}
		queue.add(now,
				new WaitingRequest(ticket, request, this.sequence++, now, now + request.remaining(), now + limit));
		this.refusals.add(now + limit, ticket);
		serve(now);
		if (queue.get(ticket) != null) {
			this.meter.congested(now);
			queued(ticket, request);
		}
	}

	private void queued(Ticket ticket, SlotRequest request) {
		double wait = expectedWait(request, this.queues.get(request.workClass()));
		this.effects.send(ticket.daemon(), new DispatchMessage.SlotQueued(ticket.number(), Math.round(wait)));
	}

	private void waitedTooLong(long now, Ticket ticket) {
		for (FairQueue queue : this.queues.values()) {
			WaitingRequest waiting = queue.get(ticket);
			if (waiting != null && waiting.refuseAt() <= now) {
				queue.remove(ticket);
				double wait = expectedWait(waiting.request(), queue);
				refuse(ticket, RefusalReason.OVERLOADED, Math.max(1, Math.round(wait)));
			}
		}
	}

	private void refuse(Ticket ticket, RefusalReason reason, long retryAfter) {
		this.effects.send(ticket.daemon(), new DispatchMessage.SlotRefusal(ticket.number(), reason, retryAfter));
	}

	// The number of requests ahead divided by the rate at which slots become free.
	private double expectedWait(SlotRequest request, FairQueue queue) {
		int ahead = queue.ahead(request.caller());
		if (ahead == 0 && this.book.free(request.idempotent(), request.excluded()) != null) {
			return 0;
		}
		double rate = 0;
		for (ServerSlots server : this.book.servers()) {
			rate += server.usableSlots() / server.duration(request.workClass());
		}
		double slots = Math.max(1, this.book.usableSlots());
		double share = (request.workClass() == WorkClass.LONG) ? longLimit() / slots
				: (slots - Math.min(this.book.longHeld(), slots - 1)) / slots;
		return (ahead + 1) / (rate * share);
	}

	private double duration(WorkClass workClass) {
		double best = Double.MAX_VALUE;
		for (ServerSlots server : this.book.servers()) {
			if (server.usableSlots() > 0) {
				best = Math.min(best, server.duration(workClass));
			}
		}
		return best;
	}

	private int longLimit() {
		return Math.max(1, (int) (this.book.usableSlots() * this.service.longShare()));
	}

	private void serve(long now) {
		FairQueue shortWork = this.queues.get(WorkClass.SHORT);
		FairQueue longWork = this.queues.get(WorkClass.LONG);
		// Waiting long work gets half of its limit before short work, so that it does not
		// starve, and the rest after short work.
		int reserved = Math.max(1, longLimit() / 2);
		while (this.book.longHeld() < reserved && grantNext(now, longWork, this.book::free)) {
			continue;
		}
		while (grantNext(now, shortWork, this.book::free)) {
			continue;
		}
		while (this.book.longHeld() < longLimit() && grantNext(now, longWork, this.book::free)) {
			continue;
		}
		// With a short queue each request waits for the first slot that becomes free on
		// any
		// server. A longer queue is also granted ahead, which keeps the servers busy
		// while
		// releases and grants are in transit.
		while (shortWork.size() >= this.book.servers().size() && grantNext(now, shortWork, this.book::freeAhead)) {
			continue;
		}
	}

	private boolean grantNext(long now, FairQueue queue, SlotFinder finder) {
		if (queue.size() == 0) {
			return false;
		}
		WaitingRequest next = queue.poll(now,
				(waiting) -> finder.find(waiting.request().idempotent(), waiting.request().excluded()) != null);
		if (next == null) {
			return false;
		}
		if (next.deadline() <= now) {
			refuse(next.ticket(), RefusalReason.DEADLINE_EXPIRED, 0);
			return true;
		}
		ServerSlots server = finder.find(next.request().idempotent(), next.request().excluded());
		if (server == null) {
			return false;
		}
		long lease = next.deadline() - now + LEASE_MARGIN;
		BackendServerId id = server.server().id();
		this.book.add(new GrantRegistry.Grant(next.ticket(), id, next.request().workClass(), now + lease, false));
		this.meter.countGrant(now, 1);
		this.effects.send(next.ticket().daemon(),
				new DispatchMessage.SlotGrant(this.service.name(), next.ticket().number(), id, lease));
		return true;
	}

	private boolean release(long now, Ticket ticket) {
		GrantRegistry.Grant grant = this.book.remove(ticket);
		if (grant == null) {
			return false;
		}
		returned(now, grant);
		return true;
	}

	private void returned(long now, GrantRegistry.Grant grant) {
		if (!grant.direct()) {
			this.meter.countGrant(now, -1);
		}
	}

	private void reported(long now, DaemonId sender, OutcomeReport report) {
		for (AttemptOutcome outcome : report.outcomes()) {
			this.meter.addDirect(outcome.duration());
			if (outcome.result() == AttemptResult.SHED) {
				this.meter.congested(now);
			}
			learn(sender, outcome);
		}
		Set<Long> alive = new HashSet<>(report.waiting());
		for (HeldSlot held : report.held()) {
			alive.add(held.ticket());
			Ticket ticket = new Ticket(sender, held.ticket());
			if (this.book.get(ticket) == null) {
				this.book.add(new GrantRegistry.Grant(ticket, held.server(), held.workClass(),
						now + held.remaining() + LEASE_MARGIN, true));
			}
		}
		long watermark = report.watermark();
		this.book.removeAll(sender, (ticket) -> ticket < watermark && !alive.contains(ticket))
			.forEach((grant) -> returned(now, grant));
		this.queues.values()
			.forEach((queue) -> queue.removeAll(sender, (ticket) -> ticket < watermark && !alive.contains(ticket)));
	}

	private void learn(DaemonId sender, AttemptOutcome outcome) {
		ServerSlots server = this.book.server(outcome.server());
		if (server != null && outcome.result() == AttemptResult.SUCCEEDED) {
			server.learn(outcome.workClass(), outcome.duration());
		}
		Observation.Result result = outcome.result().observation();
		if (result != null) {
			this.effects.add(new DispatchEffect.ReportObservation(new Observation(this.service.name(), outcome.server(),
					outcome.workClass(), sender, result, outcome.duration())));
		}
	}

	private void healthChanged(long now, List<DispatchMessage.AdvisedServer> servers) {
		this.advised = servers;
		setHealth();
		this.nextAdvice = now + ADVICE_INTERVAL;
		advise();
	}

	private void daemonDead(long now, DaemonId daemon) {
		this.heardFrom.remove(daemon);
		this.book.removeAll(daemon, (ticket) -> true).forEach((grant) -> returned(now, grant));
		this.queues.values().forEach((queue) -> queue.removeAll(daemon, (ticket) -> true));
	}

	private void setServers() {
		List<BackendServer> servers = new ArrayList<>();
		for (BackendServer server : this.service.servers()) {
			if (server.failureDomain().region().equals(this.region)) {
				servers.add(server);
			}
		}
		this.book.setServers(servers);
		setHealth();
	}

	private void setHealth() {
		Map<BackendServerId, ServerHealth> byServer = new HashMap<>();
		this.advised.forEach((server) -> byServer.put(server.health().server(), server.health()));
		this.book.setHealth(byServer);
	}

	private void adviseOnChange(long now) {
		if (this.advisedMode != this.meter.mode()) {
			this.advisedMode = this.meter.mode();
			this.effects.log(DispatchEvent.MODE_CHANGED, this.service.name(), this.advisedMode, this.meter.estimate());
			this.nextAdvice = now + ADVICE_INTERVAL;
			advise();
		}
	}

	private void advise() {
		this.heardFrom.keySet().forEach((daemon) -> this.effects.send(daemon, advice()));
	}

	private DispatchMessage.DispatchAdvice advice() {
		return new DispatchMessage.DispatchAdvice(this.service.name(), this.meter.mode(), this.advised);
	}

	/** Strategy that finds a server for a grant. */
	private interface SlotFinder {

		@Nullable ServerSlots find(boolean idempotent, List<BackendServerId> excluded);

	}

}
