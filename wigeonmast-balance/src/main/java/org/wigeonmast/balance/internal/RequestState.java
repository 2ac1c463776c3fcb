package org.wigeonmast.balance.internal;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.RequestDescription;

/**
 * The state of one request.
 * <p>
 * Thread safety: none. Invariants: {@link #possiblyRun} never returns to {@code false};
 * the number of servers that the request was sent to never exceeds that of its plan.
 */
public final class RequestState {

	/** Value of {@link #relayedAttempt} while no response is being relayed. */
	public static final int NO_ATTEMPT = 0;

	/** The caller's request. */
	public final RequestDescription description;

	/** The monotonic time in milliseconds at which it was accepted. */
	public final long acceptedAt;

	/** Attempts in flight, by number. */
	public final Map<Integer, InFlightAttempt> attempts = new LinkedHashMap<>();

	/** Servers that were tried. */
	public final Set<BackendServerId> triedServers = new HashSet<>();

	/** The number of the last attempt. */
	public int lastAttempt;

	/** The number of attempts, without those that failed before any byte was sent. */
	public int sentAttempts;

	/**
	 * The number of the attempt whose response is being relayed, or {@link #NO_ATTEMPT}.
	 */
	public int relayedAttempt = NO_ATTEMPT;

	/** The HTTP status of the response that is being relayed. */
	public int status;

	/** Whether some backend server may have run the request. */
	public boolean possiblyRun;

	/** Whether it was sent to a second server because the first did not answer. */
	public boolean secondSent;

	/** The server of the last attempt, for log lines. */
	public String lastServer = "none";

	/**
	 * Creates the state of a new request.
	 * @param now the current monotonic time in milliseconds
	 * @param description the request
	 */
	public RequestState(long now, RequestDescription description) {
		this.acceptedAt = now;
		this.description = description;
	}

	public RequestId id() {
		return this.description.id();
	}

	/**
	 * Returns whether the request may be sent to a second server after the first may have
	 * run it.
	 * @return whether it is idempotent and its body can be sent again
	 */
	public boolean isRepeatable() {
		return this.description.idempotent() && this.description.replayable();
	}

	/**
	 * An attempt in flight.
	 *
	 * @param number the number of the attempt
	 * @param server the server
	 * @param startedAt the monotonic time in milliseconds at which it started
	 */
	public record InFlightAttempt(int number, ServerState server, long startedAt) {
	}

}
