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
	public static final double MAX_WAIT_SHARE = 0.5;

	/** Time in milliseconds from the request's deadline to the end of the lease. */
	public static final long LEASE_MARGIN_MS = 1000;

	private static final long ADVICE_INTERVAL_MS = 1000;

	/** Time in milliseconds without messages after which a daemon gets no more advice. */
	private static final long DAEMON_RETENTION_MS = 10_000;

	private static final long ESTIMATE_INTERVAL_MS = 200;

	private final EffectBuffer effects = new EffectBuffer();

	private final GrantRegistry grants = new GrantRegistry();

	private final Map<WorkClass, FairQueue> queues = new EnumMap<>(WorkClass.class);

	private final TimerQueue<Ticket> waitTimers = new TimerQueue<>();

	private final Map<DaemonId, Long> lastReceivedMs = new HashMap<>();

	private final Region region;

	private final UtilizationEstimator utilizationEstimator;

	private List<DispatchMessage.AdvisedServer> advisedServers = List.of();

	private Service service;

	private DispatchMode advisedMode = DispatchMode.GRANTED;

	private long nextEstimateMs;

	private long nextAdviceMs;

	private long nextSequence;

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
		this.utilizationEstimator = new UtilizationEstimator(now);
		this.nextEstimateMs = now + ESTIMATE_INTERVAL_MS;
		this.nextAdviceMs = now + ADVICE_INTERVAL_MS;
		for (WorkClass workClass : WorkClass.values()) {
			this.queues.put(workClass, new FairQueue(order));
		}
		updateServers();
	}

	@Override
	public List<DispatchEffect> handle(long now, AllocatorInput input) {
		switch (input) {
			case AllocatorInput.Received received -> handleMessage(now, received.sender(), received.message());
			case AllocatorInput.ServiceChanged changed -> {
				this.service = changed.service();
				updateServers();
			}
			case AllocatorInput.HealthChanged changed -> onHealthChanged(now, changed.servers());
			case AllocatorInput.DaemonDead dead -> onDaemonDead(now, dead.daemon());
		}
		grantFreeSlots(now);
		sendAdviceOnModeChange(now);
		return this.effects.drain();
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		for (GrantRegistry.Grant grant = this.grants.pollExpired(now); grant != null; grant = this.grants
			.pollExpired(now)) {
			recordReturn(now, grant);
		}
		for (Ticket ticket = this.waitTimers.poll(now); ticket != null; ticket = this.waitTimers.poll(now)) {
			refuseIfWaitExceeded(now, ticket);
		}
		if (now >= this.nextEstimateMs) {
			this.utilizationEstimator.update(now, this.grants.usableSlots());
			this.nextEstimateMs = now + ESTIMATE_INTERVAL_MS;
		}
		grantFreeSlots(now);
		sendAdviceOnModeChange(now);
		if (now >= this.nextAdviceMs) {
			this.lastReceivedMs.values().removeIf((timeMs) -> now - timeMs > DAEMON_RETENTION_MS);
			this.nextAdviceMs = now + ADVICE_INTERVAL_MS;
			if (!this.advisedServers.isEmpty()) {
				sendAdvice();
			}
		}
		return this.effects.drain();
	}

	@Override
	public long nextTick() {
		long timers = Math.min(this.grants.nextLeaseEndMs(), this.waitTimers.nextTimerMs());
		// Without daemons there are no requests, so neither the estimate nor the advice
		// needs updates.
		return this.lastReceivedMs.isEmpty() ? timers
				: Math.min(timers, Math.min(this.nextEstimateMs, this.nextAdviceMs));
	}

	/**
	 * Returns the dispatch mode for short work.
	 * @return the mode
	 */
	public DispatchMode mode() {
		return this.utilizationEstimator.mode();
	}

	/**
	 * Returns whether no request waits and no slot is held, so that the allocator can be
	 * discarded.
	 * @return whether it is idle
	 */
	public boolean isIdle() {
		return waitingRequests() == 0 && this.grants.isEmpty();
	}

	/**
	 * Returns the estimated utilization.
	 * @return the share of the usable slots that is in use
	 */
	public double utilization() {
		return this.utilizationEstimator.estimate();
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	public int waitingRequests() {
		return this.queues.values().stream().mapToInt(FairQueue::size).sum();
	}

	private void handleMessage(long now, DaemonId sender, DispatchMessage message) {
		if (this.lastReceivedMs.put(sender, now) == null) {
			this.effects.send(sender, currentAdvice());
			// Ticks do not update the estimate while no daemon is known.
			this.nextEstimateMs = Math.min(this.nextEstimateMs, now + ESTIMATE_INTERVAL_MS);
		}
		switch (message) {
			case SlotRequest request -> handleSlotRequest(now, new Ticket(sender, request.ticket()), request);
			case DispatchMessage.SlotCancel cancel -> {
				Ticket ticket = new Ticket(sender, cancel.ticket());
				this.queues.values().forEach((queue) -> queue.remove(ticket));
				release(now, ticket);
			}
			case DispatchMessage.SlotRelease release -> {
				if (release(now, new Ticket(sender, release.ticket()))) {
					recordOutcome(sender, release.outcome());
				}
			}
			case OutcomeReport report -> handleReport(now, sender, report);
			default -> {
				// Messages to entry daemons and about keys are handled by other
				// components.
			}
		}
	}

	private void handleSlotRequest(long now, Ticket ticket, SlotRequest request) {
		GrantRegistry.Grant grant = this.grants.get(ticket);
		FairQueue queue = this.queues.get(request.workClass());
		if (grant != null) {
			long leaseMs = Math.max(0, grant.leaseEndMs() - now);
			this.effects.send(ticket.daemon(),
					new DispatchMessage.SlotGrant(this.service.name(), ticket.number(), grant.server(), leaseMs));
			return;
		}
		WaitingRequest queuedRequest = queue.get(ticket);
		if (queuedRequest != null) {
			sendQueued(ticket, request);
			return;
		}
		if (!this.grants.hasUsableServer(request.idempotent(), request.excluded())) {
			refuse(ticket, RefusalReason.NO_SERVER, 0);
			return;
		}
		double waitMs = expectedWaitMs(request, queue);
		long waitLimitMs = (long) (request.remaining() * MAX_WAIT_SHARE);
		if (waitMs > waitLimitMs || waitMs + shortestDurationMs(request.workClass()) > request.remaining()) {
			refuse(ticket, RefusalReason.OVERLOADED, Math.max(1, Math.round(waitMs)));
			return;
		}
		queue.add(now, new WaitingRequest(ticket, request, this.nextSequence++, now, now + request.remaining(),
				now + waitLimitMs));
		this.waitTimers.add(now + waitLimitMs, ticket);
		grantFreeSlots(now);
		if (queue.get(ticket) != null) {
			this.utilizationEstimator.recordCongestion(now);
			sendQueued(ticket, request);
		}
	}

	private void sendQueued(Ticket ticket, SlotRequest request) {
		double waitMs = expectedWaitMs(request, this.queues.get(request.workClass()));
		this.effects.send(ticket.daemon(), new DispatchMessage.SlotQueued(ticket.number(), Math.round(waitMs)));
	}

	private void refuseIfWaitExceeded(long now, Ticket ticket) {
		for (FairQueue queue : this.queues.values()) {
			WaitingRequest waiting = queue.get(ticket);
			if (waiting != null && waiting.refuseAtMs() <= now) {
				queue.remove(ticket);
				double waitMs = expectedWaitMs(waiting.request(), queue);
				refuse(ticket, RefusalReason.OVERLOADED, Math.max(1, Math.round(waitMs)));
			}
		}
	}

	private void refuse(Ticket ticket, RefusalReason reason, long retryAfterMs) {
		this.effects.send(ticket.daemon(), new DispatchMessage.SlotRefusal(ticket.number(), reason, retryAfterMs));
	}

	// The number of requests ahead divided by the rate at which slots become free.
	private double expectedWaitMs(SlotRequest request, FairQueue queue) {
		int ahead = queue.countAhead(request.caller());
		if (ahead == 0 && this.grants.findFree(request.idempotent(), request.excluded()) != null) {
			return 0;
		}
		double rate = 0;
		for (ServerSlots server : this.grants.servers()) {
			rate += server.usableSlots() / server.meanDurationMs(request.workClass());
		}
		double slots = Math.max(1, this.grants.usableSlots());
		double share = (request.workClass() == WorkClass.LONG) ? longLimit() / slots
				: (slots - Math.min(this.grants.longHeld(), slots - 1)) / slots;
		return (ahead + 1) / (rate * share);
	}

	private double shortestDurationMs(WorkClass workClass) {
		double best = Double.MAX_VALUE;
		for (ServerSlots server : this.grants.servers()) {
			if (server.usableSlots() > 0) {
				best = Math.min(best, server.meanDurationMs(workClass));
			}
		}
		return best;
	}

	private int longLimit() {
		return Math.max(1, (int) (this.grants.usableSlots() * this.service.longShare()));
	}

	private void grantFreeSlots(long now) {
		FairQueue shortWork = this.queues.get(WorkClass.SHORT);
		FairQueue longWork = this.queues.get(WorkClass.LONG);
		// Waiting long work gets half of its limit before short work, so that it does not
		// starve, and the rest after short work.
		int reservedForLong = Math.max(1, longLimit() / 2);
		while (this.grants.longHeld() < reservedForLong && grantNext(now, longWork, this.grants::findFree)) {
			continue;
		}
		while (grantNext(now, shortWork, this.grants::findFree)) {
			continue;
		}
		while (this.grants.longHeld() < longLimit() && grantNext(now, longWork, this.grants::findFree)) {
			continue;
		}
		// With a short queue each request waits for the first slot that becomes free on
		// any server. A longer queue is also granted ahead, which keeps the servers busy
		// while releases and grants are in transit.
		while (shortWork.size() >= this.grants.servers().size() && grantNext(now, shortWork, this.grants::findAhead)) {
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
		if (next.deadlineMs() <= now) {
			refuse(next.ticket(), RefusalReason.DEADLINE_EXPIRED, 0);
			return true;
		}
		ServerSlots server = finder.find(next.request().idempotent(), next.request().excluded());
		if (server == null) {
			return false;
		}
		long leaseMs = next.deadlineMs() - now + LEASE_MARGIN_MS;
		BackendServerId id = server.server().id();
		this.grants.add(new GrantRegistry.Grant(next.ticket(), id, next.request().workClass(), now + leaseMs, false));
		this.utilizationEstimator.adjustGrants(now, 1);
		this.effects.send(next.ticket().daemon(),
				new DispatchMessage.SlotGrant(this.service.name(), next.ticket().number(), id, leaseMs));
		return true;
	}

	private boolean release(long now, Ticket ticket) {
		GrantRegistry.Grant grant = this.grants.remove(ticket);
		if (grant == null) {
			return false;
		}
		recordReturn(now, grant);
		return true;
	}

	private void recordReturn(long now, GrantRegistry.Grant grant) {
		if (!grant.direct()) {
			this.utilizationEstimator.adjustGrants(now, -1);
		}
	}

	private void handleReport(long now, DaemonId sender, OutcomeReport report) {
		for (AttemptOutcome outcome : report.outcomes()) {
			this.utilizationEstimator.addDirectDuration(outcome.duration());
			if (outcome.result() == AttemptResult.SHED) {
				this.utilizationEstimator.recordCongestion(now);
			}
			recordOutcome(sender, outcome);
		}
		Set<Long> inUse = new HashSet<>(report.waiting());
		for (HeldSlot held : report.held()) {
			inUse.add(held.ticket());
			Ticket ticket = new Ticket(sender, held.ticket());
			if (this.grants.get(ticket) == null) {
				this.grants.add(new GrantRegistry.Grant(ticket, held.server(), held.workClass(),
						now + held.remaining() + LEASE_MARGIN_MS, true));
			}
		}
		long watermark = report.watermark();
		this.grants.removeAll(sender, (ticket) -> ticket < watermark && !inUse.contains(ticket))
			.forEach((grant) -> recordReturn(now, grant));
		this.queues.values()
			.forEach((queue) -> queue.removeAll(sender, (ticket) -> ticket < watermark && !inUse.contains(ticket)));
	}

	private void recordOutcome(DaemonId sender, AttemptOutcome outcome) {
		ServerSlots server = this.grants.server(outcome.server());
		if (server != null && outcome.result() == AttemptResult.SUCCEEDED) {
			server.recordDuration(outcome.workClass(), outcome.duration());
		}
		Observation.Result result = outcome.result().observation();
		if (result != null) {
			this.effects.add(new DispatchEffect.ReportObservation(new Observation(this.service.name(), outcome.server(),
					outcome.workClass(), sender, result, outcome.duration())));
		}
	}

	private void onHealthChanged(long now, List<DispatchMessage.AdvisedServer> servers) {
		this.advisedServers = servers;
		updateHealth();
		this.nextAdviceMs = now + ADVICE_INTERVAL_MS;
		sendAdvice();
	}

	private void onDaemonDead(long now, DaemonId daemon) {
		this.lastReceivedMs.remove(daemon);
		this.grants.removeAll(daemon, (ticket) -> true).forEach((grant) -> recordReturn(now, grant));
		this.queues.values().forEach((queue) -> queue.removeAll(daemon, (ticket) -> true));
	}

	private void updateServers() {
		List<BackendServer> servers = new ArrayList<>();
		for (BackendServer server : this.service.servers()) {
			if (server.failureDomain().region().equals(this.region)) {
				servers.add(server);
			}
		}
		this.grants.setServers(servers);
		updateHealth();
	}

	private void updateHealth() {
		Map<BackendServerId, ServerHealth> byServer = new HashMap<>();
		this.advisedServers.forEach((server) -> byServer.put(server.health().server(), server.health()));
		this.grants.setHealth(byServer);
	}

	private void sendAdviceOnModeChange(long now) {
		if (this.advisedMode != this.utilizationEstimator.mode()) {
			this.advisedMode = this.utilizationEstimator.mode();
			this.effects.log(DispatchEvent.MODE_CHANGED, this.service.name(), this.advisedMode,
					this.utilizationEstimator.estimate());
			this.nextAdviceMs = now + ADVICE_INTERVAL_MS;
			sendAdvice();
		}
	}

	private void sendAdvice() {
		this.lastReceivedMs.keySet().forEach((daemon) -> this.effects.send(daemon, currentAdvice()));
	}

	private DispatchMessage.DispatchAdvice currentAdvice() {
		return new DispatchMessage.DispatchAdvice(this.service.name(), this.utilizationEstimator.mode(),
				this.advisedServers);
	}

	/** Strategy that finds a server for a grant. */
	private interface SlotFinder {

		@Nullable ServerSlots find(boolean idempotent, List<BackendServerId> excluded);

	}

}
