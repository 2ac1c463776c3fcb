package org.wigeonmast.health;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;

/**
 * The messages about health between daemons.
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
	 * An owner asks a daemon to promise a permit to a backend server.
	 *
	 * @param service the service
	 * @param permit the number of the permit, from 0
	 * @param server the backend server to eject
	 * @param sequence the number of this request, which increases with every message of
	 * one start of the owner
	 * @param evidence why, in one line
	 */
	record PromiseRequest(ServiceName service, int permit, BackendServerId server, long sequence,
			String evidence) implements HealthMessage {
	}

	/**
	 * A daemon's answer to a {@link PromiseRequest}.
	 *
	 * @param service the service
	 * @param permit the permit
	 * @param server the backend server asked for
	 * @param sequence the number of the request
	 * @param refusal {@link Refusal#NONE} if the permit is promised to that server for
	 * one lease, otherwise the reason
	 * @param holder the backend server to which the permit is promised, if any
	 */
	record PromiseReply(ServiceName service, int permit, BackendServerId server, long sequence, Refusal refusal,
			@Nullable BackendServerId holder) implements HealthMessage {

		/**
		 * Returns whether the promise is given.
		 * @return whether it is given
		 */
		public boolean given() {
			return this.refusal == Refusal.NONE;
		}

	}

	/**
	 * An owner gives a promise back before its lease ends.
	 *
	 * @param service the service
	 * @param permit the permit
	 * @param server the backend server
	 * @param sequence the number of this message; only promises for requests with lower
	 * numbers of the same owner are given back
	 */
	record PromiseRelease(ServiceName service, int permit, BackendServerId server,
			long sequence) implements HealthMessage {
	}

	/**
	 * A backend server is leaving.
	 *
	 * @param service the service
	 * @param server the backend server
	 */
	record LeavingNotice(ServiceName service, BackendServerId server) implements HealthMessage {
	}

	/**
	 * The ejections of a service changed; the receiver asks with an
	 * {@link EjectionQuery}. It carries no lease, because its age is unknown.
	 *
	 * @param service the service
	 */
	record EjectionNotice(ServiceName service) implements HealthMessage {
	}

	/**
	 * An entry daemon asks which ejections to follow.
	 *
	 * @param service the service
	 * @param sequence the number of the query
	 */
	record EjectionQuery(ServiceName service, long sequence) implements HealthMessage {
	}

	/**
	 * The ejections that an owner holds permits for.
	 *
	 * @param service the service
	 * @param sequence the number of the query
	 * @param ejections the ejections
	 */
	record EjectionAdvice(ServiceName service, long sequence,
			List<AdvisedEjection> ejections) implements HealthMessage {

		/**
		 * Creates advice.
		 * @param service the service
		 * @param sequence the number of the query
		 * @param ejections the ejections
		 */
		public EjectionAdvice {
			ejections = List.copyOf(ejections);
		}

	}

	/**
	 * One ejection in advice.
	 *
	 * @param server the backend server
	 * @param permit the permit
	 * @param remaining the rest of the lease in milliseconds, which the receiver counts
	 * from the time at which it sent the query
	 * @param strength the strength of the evidence; the weakest is ignored first
	 * @param trial whether a few idempotent requests may be sent
	 * @param evidence why, in one line
	 */
	record AdvisedEjection(BackendServerId server, int permit, long remaining, double strength, boolean trial,
			String evidence) {
	}

	/** Why a promise is not given. */
	enum Refusal {

		/** It is given. */
		NONE,

		/** The permit is promised to another backend server. */
		HELD,

		/** The daemon started or paused less than one lease ago. */
		WAITING,

		/** The floor would not hold by the daemon's own view. */
		FLOOR,

		/** The daemon's manifest has no such permit in its failure domain. */
		UNKNOWN_PERMIT

	}

}
