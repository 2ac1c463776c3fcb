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
 * Thread safety: none. Invariants: {@link #possiblyRun} never returns to {@code false};
 * at most one attempt is in flight.
 */
public final class ActiveRequest {

	/** The caller's request. */
	public final RequestDescription description;

	/** Servers that were tried. */
	public final Set<BackendServerId> excluded = new LinkedHashSet<>();

	/** The questions about its key, by the number of the query. */
	public final Map<Long, KeyQuestion> questions = new LinkedHashMap<>();

	/** Until when a first attempt waits for its registration. */
	public long registerUntil;

	/** What the request waits for. */
	public State state = State.NEW;

	/** When the request is looked at next, or {@link Component#NO_TIMER}. */
	public long wakeAt = Component.NO_TIMER;

	/** The number of the last attempt, 0 before the first. */
	public int attempt;

	/** The ticket of the slot that it waits for or holds, 0 without one. */
	public long ticket;

	/** The owner that was asked or granted the slot. */
	public @Nullable DaemonId owner;

	/** The number of owners that were asked for the slot that it waits for. */
	public int ownersAsked;

	/** Whether the owner confirmed that the request waits in its queue. */
	public boolean queued;

	/** The view whose slots it waits for or uses. */
	public @Nullable RegionView view;

	/** The server of the attempt in flight. */
	public @Nullable BackendServer server;

	/** The time at which the attempt in flight started. */
	public long startedAt;

	/** Whether the response is being relayed. */
	public boolean relaying;

	/** The HTTP status of the response that is being relayed. */
	public int status;

	/** Whether some backend server may have run the request. */
	public boolean possiblyRun;

	/** Whether a busy server shed the request, so that a grant is asked for. */
	public boolean needsGrant;

	/** Whether an error answer was already discarded for a retry. */
	public boolean errorRetried;

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
	 * @return whether it may be repeated
	 */
	public boolean repeatable() {
		return this.description.idempotent() && this.description.replayable();
	}

	/**
	 * Returns the time until the deadline.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds, at least 0
	 */
	public long remaining(long now) {
		return Math.max(0, this.description.deadline() - now);
	}

	/**
	 * Returns the slot in use.
	 * @param now the monotonic time in milliseconds
	 * @return the slot, or {@code null} if no attempt is in flight
	 */
	public @Nullable HeldSlot heldSlot(long now) {
		BackendServer used = this.server;
		return (this.state == State.ATTEMPTING && used != null)
				? new HeldSlot(this.ticket, used.id(), this.description.workClass(), remaining(now)) : null;
	}

	/**
	 * Returns the number of the query that an owner was asked with.
	 * @param owner the owner
	 * @return the number, 0 if it was not asked
	 */
	public long queryTo(DaemonId owner) {
		for (Map.Entry<Long, KeyQuestion> entry : this.questions.entrySet()) {
			if (entry.getValue().owner().equals(owner)) {
				return entry.getKey();
			}
		}
		return 0;
	}

	/**
	 * A question about the request's key.
	 *
	 * @param owner the owner that was asked
	 * @param vouched whether it vouched for the key or need not vouch any more
	 */
	public record KeyQuestion(DaemonId owner, boolean vouched) {

		/**
		 * Returns the question with its answer.
		 * @return the question
		 */
		public KeyQuestion answered() {
			return new KeyQuestion(this.owner, true);
		}

	}

	/** What a request waits for. */
	public enum State {

		/** Nothing yet. */
		NEW,

		/** Verdicts about its key. */
		REGISTERING,

		/** A slot from an owner. */
		ACQUIRING,

		/** The end of an attempt. */
		ATTEMPTING

	}

}
