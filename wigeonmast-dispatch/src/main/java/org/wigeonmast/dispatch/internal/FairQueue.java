package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.QueueOrder;

/**
 * Queue of one class of work that serves callers round robin, so that the backlog of one
 * caller delays the others by one request at a time.
 * <p>
 * Thread safety: none. Invariant: between two requests of one caller each other waiting
 * caller is served once.
 */
public final class FairQueue {

	/**
	 * Time in milliseconds without an empty queue after which the queue counts as
	 * overloaded.
	 */
	private static final long OVERLOADED_AFTER_MS = 100;

	private final QueueOrder order;

	private final Map<WaitingRequest.Ticket, WaitingRequest> requestsByTicket = new HashMap<>();

	private final LinkedHashMap<CallerId, TreeSet<WaitingRequest>> waitingByCaller = new LinkedHashMap<>();

	private long nonEmptySinceMs;

	/**
	 * Creates a queue.
	 * @param order the order among the requests of one caller
	 */
	public FairQueue(QueueOrder order) {
		this.order = order;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number of requests
	 */
	public int size() {
		return this.requestsByTicket.size();
	}

	/**
	 * Returns a request.
	 * @param ticket the ticket
	 * @return the request, or {@code null} if it does not wait here
	 */
	public @Nullable WaitingRequest get(WaitingRequest.Ticket ticket) {
		return this.requestsByTicket.get(ticket);
	}

	/**
	 * Returns the number of requests that are served before an additional one of a
	 * caller.
	 * @param caller the caller
	 * @return the number
	 */
	public int countAhead(CallerId caller) {
		TreeSet<WaitingRequest> ownRequests = this.waitingByCaller.get(caller);
		int turns = (ownRequests != null) ? ownRequests.size() : 0;
		int result = 0;
		for (TreeSet<WaitingRequest> waiting : this.waitingByCaller.values()) {
			result += Math.min(waiting.size(), (waiting == ownRequests) ? turns : turns + 1);
		}
		return result;
	}

	/**
	 * Adds a request.
	 * @param now the current monotonic time in milliseconds
	 * @param request the request
	 */
	public void add(long now, WaitingRequest request) {
		if (this.requestsByTicket.isEmpty()) {
			this.nonEmptySinceMs = now;
		}
		this.requestsByTicket.put(request.ticket(), request);
		this.waitingByCaller.computeIfAbsent(request.request().caller(), (caller) -> new TreeSet<>(comparator()))
			.add(request);
	}

	/**
	 * Removes a request.
	 * @param ticket the ticket
	 * @return the request, or {@code null} if it does not wait here
	 */
	public @Nullable WaitingRequest remove(WaitingRequest.Ticket ticket) {
		WaitingRequest request = this.requestsByTicket.remove(ticket);
		if (request != null) {
			CallerId caller = request.request().caller();
			TreeSet<WaitingRequest> waiting = this.waitingByCaller.get(caller);
			if (waiting != null && waiting.remove(request) && waiting.isEmpty()) {
				this.waitingByCaller.remove(caller);
			}
		}
		return request;
	}

	/**
	 * Removes the next request that can be served and moves its caller to the end of the
	 * round.
	 * @param now the current monotonic time in milliseconds
	 * @param servable the condition that a request can be served now
	 * @return the request, or {@code null} if none can be served
	 */
	public @Nullable WaitingRequest poll(long now, Predicate<WaitingRequest> servable) {
		boolean newestFirst = this.order == QueueOrder.NEWEST_FIRST_WHEN_OVERLOADED
				&& now - this.nonEmptySinceMs > OVERLOADED_AFTER_MS;
		for (Map.Entry<CallerId, TreeSet<WaitingRequest>> entry : this.waitingByCaller.entrySet()) {
			TreeSet<WaitingRequest> waiting = entry.getValue();
			WaitingRequest request = newestFirst ? waiting.last() : waiting.first();
			if (servable.test(request)) {
				this.waitingByCaller.remove(entry.getKey());
				waiting.remove(request);
				if (!waiting.isEmpty()) {
					this.waitingByCaller.put(entry.getKey(), waiting);
				}
				this.requestsByTicket.remove(request.ticket());
				return request;
			}
		}
		return null;
	}

	/**
	 * Removes all requests of a daemon that meet a condition.
	 * @param daemon the daemon
	 * @param condition the condition on the ticket
	 */
	public void removeAll(DaemonId daemon, Predicate<Long> condition) {
		List<WaitingRequest.Ticket> removed = new ArrayList<>();
		for (Iterator<WaitingRequest.Ticket> i = this.requestsByTicket.keySet().iterator(); i.hasNext();) {
			WaitingRequest.Ticket ticket = i.next();
			if (ticket.daemon().equals(daemon) && condition.test(ticket.number())) {
				removed.add(ticket);
			}
		}
		removed.forEach(this::remove);
	}

	private Comparator<WaitingRequest> comparator() {
		Comparator<WaitingRequest> bySequence = Comparator.comparingLong(WaitingRequest::sequence);
		return (this.order == QueueOrder.EARLIEST_DEADLINE)
				? Comparator.comparingLong(WaitingRequest::deadlineMs).thenComparing(bySequence) : bySequence;
	}

}
