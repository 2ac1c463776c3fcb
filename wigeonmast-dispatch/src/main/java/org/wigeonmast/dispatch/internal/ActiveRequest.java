package org.wigeonmast.dispatch.internal;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.DispatchMessage.HeldSlot;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.manifest.BackendServer;

/**
 * The state of one request in an entry daemon.
 * <p>
 * Thread safety: none. Invariants: {@link #mayHaveRun} never returns to {@code false}; at
 * most one attempt is in flight.
 */
public final class ActiveRequest {

	/** The caller's request. */
	public final RequestDescription description;

	/** The backend servers that were already tried or whose grant could not be used. */
	public final Set<BackendServerId> excluded = new LinkedHashSet<>();

	/** The queries about its key, by the number of the query. */
	public final Map<Long, KeyQueryState> keyQueries = new LinkedHashMap<>();

	/**
	 * The monotonic time in milliseconds until which a declared first attempt waits for
	 * its registration.
	 */
	public long registrationDeadlineMs;

	/** What the request waits for. */
	public State state = State.NEW;

	/**
	 * The monotonic time in milliseconds at which the request is checked next, or
	 * {@link Component#NO_TIMER}.
	 */
	public long timerMs = Component.NO_TIMER;

	/** The number of the last attempt, 0 before the first. */
	public int attempt;

	/** The ticket of the slot that it waits for or holds, 0 without one. */
	public long ticket;

	/** The owner that the slot was requested from, {@code null} without one. */
	public @Nullable DaemonId owner;

	/** The number of owners, in rank order, that were tried for the current slot. */
	public int ownersTried;

	/** Whether the owner confirmed that the request waits in its queue. */
	public boolean queuedAtOwner;

	/** The region whose slots it waits for or uses. */
	public @Nullable RegionView view;

	/** The server of the attempt in flight. */
	public @Nullable BackendServer server;

	/** The monotonic time in milliseconds at which the attempt in flight started. */
	public long startedAtMs;

	/** Whether the response is being relayed to the caller. */
	public boolean relaying;

	/** The HTTP status of the response that is being relayed. */
	public int status;

	/** Whether some backend server may have run the request. */
	public boolean mayHaveRun;

	/** Whether a server shed the request, so that the next attempt requires a grant. */
	public boolean needsGrant;

	/** Whether an error response was already discarded in favour of a retry. */
	public boolean errorResponseRetried;

	/**
	 * Creates the state of a new request.
	 * @param description the request
	 */
	public ActiveRequest(RequestDescription description) {
		this.description = description;
	}

	/**
	 * Returns the identifier.
	 * @return the identifier
	 */
	public RequestId id() {
		return this.description.id();
	}

	/**
	 * Returns whether the request may be sent to a second server after the first may have
	 * run it.
	 * @return whether it is idempotent and its whole body is available
	 */
	public boolean isRetryable() {
		return this.description.idempotent() && this.description.replayable();
	}

	/**
	 * Returns the time until the deadline.
	 * @param now the current monotonic time in milliseconds
	 * @return the time in milliseconds, at least 0
	 */
	public long remainingMs(long now) {
		return Math.max(0, this.description.deadline() - now);
	}

	/**
	 * Returns the slot that the attempt in flight uses.
	 * @param now the current monotonic time in milliseconds
	 * @return the slot, or {@code null} if no attempt is in flight
	 */
	public @Nullable HeldSlot heldSlot(long now) {
		BackendServer used = this.server;
		return (this.state == State.ATTEMPTING && used != null)
				? new HeldSlot(this.ticket, used.id(), this.description.workClass(), remainingMs(now)) : null;
	}

	/**
	 * Returns the number of the query that was sent to an owner.
	 * @param owner the owner
	 * @return the number, 0 if none was sent
	 */
	public long findQuery(DaemonId owner) {
		for (Map.Entry<Long, KeyQueryState> entry : this.keyQueries.entrySet()) {
			if (entry.getValue().owner().equals(owner)) {
				return entry.getKey();
			}
		}
		return 0;
	}

	/**
	 * A query about the request's key.
	 *
	 * @param owner the owner that it was sent to
	 * @param vouched whether the owner vouched for the key or its verdict is no longer
	 * needed
	 */
	public record KeyQueryState(DaemonId owner, boolean vouched) {

		/**
		 * Returns this query with {@code vouched} set.
		 * @return the new query
		 */
		public KeyQueryState asVouched() {
			return new KeyQueryState(this.owner, true);
		}

	}

	/** What a request waits for. */
	public enum State {

		/** Nothing yet. */
		NEW,

		/** The verdicts about its key. */
		REGISTERING,

		/** A slot from an owner. */
		ACQUIRING,

		/** The end of an attempt. */
		ATTEMPTING

	}

}
