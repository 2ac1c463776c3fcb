package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.WorkClass;

/**
 * Registry of the slots of one service in one region and of the grants that use them.
 * <p>
 * Thread safety: none. Invariants: a grant is added only while its server has a free slot
 * or, while requests queue, for one grant ahead; each ticket holds at most one slot; a
 * ticket that its daemon reported is added even if the server has no free slot, because
 * the request is already running.
 */
public final class GrantRegistry {

	private final Map<DaemonId, Map<Long, Grant>> grants = new HashMap<>();

	private final TimerQueue<Grant> leaseTimers = new TimerQueue<>();

	private Map<BackendServerId, ServerSlots> servers = new LinkedHashMap<>();

	private int longHeld;

	/**
	 * Replaces the servers. Slots in use are kept, including those of a removed server,
	 * which count again if the server is added again.
	 * @param replacement the servers
	 */
	public void setServers(Collection<BackendServer> replacement) {
		Map<BackendServerId, ServerSlots> newServers = new LinkedHashMap<>();
		for (BackendServer server : replacement) {
			ServerSlots existing = this.servers.get(server.id());
			if (existing != null) {
				existing.setServer(server);
			}
			newServers.put(server.id(), (existing != null) ? existing : new ServerSlots(server));
		}
		this.servers = newServers;
		newServers.values().forEach((server) -> server.resetHeld());
		this.grants.values().forEach((ofDaemon) -> ofDaemon.values().forEach((grant) -> adjustServerHeld(grant, 1)));
	}

	/**
	 * Returns whether there are no grants.
	 * @return whether no ticket holds a slot
	 */
	public boolean isEmpty() {
		return this.grants.isEmpty();
	}

	/**
	 * Replaces the health of all servers.
	 * @param health the health by server; servers that are not listed are in service with
	 * full weight
	 */
	public void setHealth(Map<BackendServerId, ServerHealth> health) {
		this.servers.forEach((id, server) -> server.setHealth(health.get(id)));
	}

	/**
	 * Returns the servers.
	 * @return the servers
	 */
	public Collection<ServerSlots> servers() {
		return this.servers.values();
	}

	/**
	 * Returns a server.
	 * @param id the identifier of the backend server
	 * @return the server, or {@code null} if it is unknown
	 */
	public @Nullable ServerSlots server(BackendServerId id) {
		return this.servers.get(id);
	}

	/**
	 * Returns the number of usable slots of all servers.
	 * @return the number of slots
	 */
	public int usableSlots() {
		int result = 0;
		for (ServerSlots server : this.servers.values()) {
			result += server.usableSlots();
		}
		return result;
	}

	/**
	 * Returns the number of slots that long work holds.
	 * @return the number of slots
	 */
	public int longHeld() {
		return this.longHeld;
	}

	/**
	 * Finds the best server with a free slot.
	 * @param idempotent whether the request may run more than once; only such requests
	 * are sent to servers on trial
	 * @param excluded servers that were already tried for this request
	 * @return a server with a free slot, or {@code null} if there is none
	 */
	public @Nullable ServerSlots findFree(boolean idempotent, Collection<BackendServerId> excluded) {
		return findBest(ServerSlots::hasFreeSlot, idempotent, excluded);
	}

	/**
	 * Finds the best server for a grant ahead of its next free slot (see
	 * {@link ServerSlots#canGrantAhead()}).
	 * @param idempotent whether the request may run more than once; only such requests
	 * are sent to servers on trial
	 * @param excluded servers that were already tried for this request
	 * @return a server, or {@code null} if there is none
	 */
	public @Nullable ServerSlots findAhead(boolean idempotent, Collection<BackendServerId> excluded) {
		return findBest(ServerSlots::canGrantAhead, idempotent, excluded);
	}

	private @Nullable ServerSlots findBest(Predicate<ServerSlots> available, boolean idempotent,
			Collection<BackendServerId> excluded) {
		ServerSlots best = null;
		for (ServerSlots server : this.servers.values()) {
			if (!available.test(server) || (server.isOnTrial() && !idempotent)
					|| excluded.contains(server.server().id())) {
				continue;
			}
			if (best == null || isBetter(server, best)) {
				best = server;
			}
		}
		return best;
	}

	/**
	 * Returns whether any server that was not yet tried may receive the request, now or
	 * later.
	 * @param idempotent whether the request may run more than once
	 * @param excluded servers that were already tried for this request
	 * @return whether there is such a server
	 */
	public boolean hasUsableServer(boolean idempotent, Collection<BackendServerId> excluded) {
		for (ServerSlots server : this.servers.values()) {
			if (server.usableSlots() > 0 && (idempotent || !server.isOnTrial())
					&& !excluded.contains(server.server().id())) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns a grant.
	 * @param ticket the ticket
	 * @return the grant, or {@code null} if the ticket holds no slot
	 */
	public @Nullable Grant get(WaitingRequest.Ticket ticket) {
		return this.grants.getOrDefault(ticket.daemon(), Map.of()).get(ticket.number());
	}

	/**
	 * Adds a grant.
	 * @param grant the grant of a ticket that holds no slot
	 */
	public void add(Grant grant) {
		this.grants.computeIfAbsent(grant.ticket().daemon(), (daemon) -> new HashMap<>())
			.put(grant.ticket().number(), grant);
		this.leaseTimers.add(grant.leaseEndMs(), grant);
		adjustHeld(grant, 1);
	}

	/**
	 * Removes a grant.
	 * @param ticket the ticket
	 * @return the grant, or {@code null} if the ticket holds no slot
	 */
	public @Nullable Grant remove(WaitingRequest.Ticket ticket) {
		Map<Long, Grant> ofDaemon = this.grants.get(ticket.daemon());
		Grant grant = (ofDaemon != null) ? ofDaemon.remove(ticket.number()) : null;
		if (grant != null) {
			adjustHeld(grant, -1);
			if (ofDaemon.isEmpty()) {
				this.grants.remove(ticket.daemon());
			}
		}
		return grant;
	}

	/**
	 * Removes all grants of a daemon that meet a condition.
	 * @param daemon the daemon
	 * @param condition the condition on the ticket
	 * @return the removed grants
	 */
	public List<Grant> removeAll(DaemonId daemon, LongPredicate condition) {
		List<Grant> removed = new ArrayList<>();
		for (Long ticket : List.copyOf(this.grants.getOrDefault(daemon, Map.of()).keySet())) {
			Grant grant = condition.test(ticket) ? remove(new WaitingRequest.Ticket(daemon, ticket)) : null;
			if (grant != null) {
				removed.add(grant);
			}
		}
		return removed;
	}

	/**
	 * Removes the next grant whose lease has ended.
	 * @param now the current monotonic time in milliseconds
	 * @return the grant, or {@code null} if there is none
	 */
	public @Nullable Grant pollExpired(long now) {
		for (Grant grant = this.leaseTimers.poll(now); grant != null; grant = this.leaseTimers.poll(now)) {
			if (get(grant.ticket()) == grant) {
				return remove(grant.ticket());
			}
		}
		return null;
	}

	/**
	 * Returns when the next lease may end.
	 * @return the monotonic time in milliseconds, or {@code Long.MAX_VALUE} if there is
	 * none
	 */
	public long nextLeaseEndMs() {
		return this.leaseTimers.nextTimerMs();
	}

	private void adjustHeld(Grant grant, int change) {
		if (grant.workClass() == WorkClass.LONG) {
			this.longHeld += change;
		}
		adjustServerHeld(grant, change);
	}

	private void adjustServerHeld(Grant grant, int change) {
		ServerSlots server = this.servers.get(grant.server());
		if (server != null) {
			server.adjustHeld(grant.workClass(), change);
		}
	}

	private static boolean isBetter(ServerSlots server, ServerSlots best) {
		if (server.isLastChoice() != best.isLastChoice()) {
			return best.isLastChoice();
		}
		return server.cost() < best.cost();
	}

	/**
	 * A ticket that holds a slot.
	 *
	 * @param ticket the ticket
	 * @param server the backend server
	 * @param workClass the class of work
	 * @param leaseEndMs the monotonic time in milliseconds at which the slot is freed
	 * @param direct whether the daemon selected the server itself
	 */
	public record Grant(WaitingRequest.Ticket ticket, BackendServerId server, WorkClass workClass, long leaseEndMs,
			boolean direct) {
	}

}
