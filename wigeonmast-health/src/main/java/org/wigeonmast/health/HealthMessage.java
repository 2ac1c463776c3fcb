package org.wigeonmast.health;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;

/**
 * The health messages that daemons exchange.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface HealthMessage {

	/**
	 * Returns the service concerned.
	 * @return the service
	 */
	ServiceName service();

	/**
	 * An owner's request that a daemon promise a permit for the ejection of a backend
	 * server.
	 *
	 * @param service the service
	 * @param permit the number of the permit, from 0
	 * @param server the backend server to eject
	 * @param sequence the sequence number of this request, which increases with every
	 * message of one incarnation of the owner
	 * @param evidence the evidence in one line
	 */
	record PromiseRequest(ServiceName service, int permit, BackendServerId server, long sequence,
			String evidence) implements HealthMessage {
	}

	/**
	 * The reply of a daemon to a {@link PromiseRequest}.
	 *
	 * @param service the service
	 * @param permit the permit
	 * @param server the backend server that the request named
	 * @param sequence the sequence number of the request
	 * @param refusal {@link Refusal#NONE} if the permit is promised to that server for
	 * the duration of one lease, otherwise the reason for the refusal
	 * @param holder the backend server to which the permit is promised, or {@code null}
	 * if it is promised to none
	 */
	record PromiseReply(ServiceName service, int permit, BackendServerId server, long sequence, Refusal refusal,
			@Nullable BackendServerId holder) implements HealthMessage {

		/**
		 * Returns whether the daemon made the promise.
		 * @return {@code true} if the request was not refused
		 */
		public boolean isPromised() {
			return this.refusal == Refusal.NONE;
		}

	}

	/**
	 * A release of a promise by its owner before the lease expires.
	 *
	 * @param service the service
	 * @param permit the permit
	 * @param server the backend server
	 * @param sequence the sequence number of this message; it releases only promises for
	 * requests of the same owner with lower numbers
	 */
	record PromiseRelease(ServiceName service, int permit, BackendServerId server,
			long sequence) implements HealthMessage {
	}

	/**
	 * A notice that a backend server is leaving.
	 *
	 * @param service the service
	 * @param server the backend server
	 */
	record LeavingNotice(ServiceName service, BackendServerId server) implements HealthMessage {
	}

	/**
	 * A notice that the ejections of a service changed; the receiver answers with an
	 * {@link EjectionQuery}. The notice carries no lease, because the receiver cannot
	 * know how long it was under way.
	 *
	 * @param service the service
	 */
	record EjectionNotice(ServiceName service) implements HealthMessage {
	}

	/**
	 * A query of an entry daemon for the ejections that it must apply.
	 *
	 * @param service the service
	 * @param sequence the sequence number of the query
	 */
	record EjectionQuery(ServiceName service, long sequence) implements HealthMessage {
	}

	/**
	 * The reply to an {@link EjectionQuery}: the ejections for which the owner holds
	 * permits.
	 *
	 * @param service the service
	 * @param sequence the sequence number of the query
	 * @param ejections the ejections
	 */
	record EjectionAdvice(ServiceName service, long sequence,
			List<AdvisedEjection> ejections) implements HealthMessage {

		/**
		 * Creates a reply.
		 * @param service the service
		 * @param sequence the sequence number of the query
		 * @param ejections the ejections
		 */
		public EjectionAdvice {
			ejections = List.copyOf(ejections);
		}

	}

	/**
	 * One ejection in an {@link EjectionAdvice}.
	 *
	 * @param server the backend server
	 * @param permit the permit
	 * @param remaining the remaining time of the lease in milliseconds, which the
	 * receiver counts from the time at which it sent the query
	 * @param strength the strength of the evidence; ejections with the weakest evidence
	 * are ignored first if the floor would not hold
	 * @param trial whether a few idempotent requests may be sent to the server
	 * @param evidence the evidence in one line
	 */
	record AdvisedEjection(BackendServerId server, int permit, long remaining, double strength, boolean trial,
			String evidence) {
	}

	/** The reason why a daemon refuses a promise. */
	enum Refusal {

		/** The promise is not refused. */
		NONE,

		/** The permit is already promised to another backend server. */
		HELD,

		/** The daemon started or paused less than one lease ago. */
		WAITING,

		/**
		 * By the view of the daemon, fewer servers than the floor would stay in service.
		 */
		FLOOR,

		/** In the manifest of the daemon, its failure domain has no such permit. */
		UNKNOWN_PERMIT

	}

}
