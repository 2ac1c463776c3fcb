package org.wigeonmast.dispatch;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.WorkClass;

/**
 * A message between daemons about slots, queues and request keys.
 * <p>
 * Thread safety: immutable. All times are durations in milliseconds, because daemons
 * share no clock. A ticket is unique within one incarnation of the entry daemon that
 * issued it and increases with each slot that the daemon acquires.
 */
public sealed interface DispatchMessage {

	/**
	 * Requests a slot from the owner. Repeated requests with the same ticket are answered
	 * again.
	 *
	 * @param ticket the ticket
	 * @param service the service
	 * @param workClass the class of work
	 * @param caller the caller, used for fair queueing
	 * @param remaining the time until the request's deadline
	 * @param idempotent whether the request may run more than once
	 * @param spilled whether the request comes from another region
	 * @param excluded backend servers that were already tried for this request
	 */
	record SlotRequest(long ticket, ServiceName service, WorkClass workClass, CallerId caller, long remaining,
			boolean idempotent, boolean spilled, List<BackendServerId> excluded) implements DispatchMessage {

		public SlotRequest {
			excluded = List.copyOf(excluded);
		}

	}

	/**
	 * Confirms that a request waits in the owner's queue.
	 *
	 * @param ticket the ticket
	 * @param expectedWait the expected time until the grant
	 */
	record SlotQueued(long ticket, long expectedWait) implements DispatchMessage {
	}

	/**
	 * Grants a slot.
	 *
	 * @param service the service
	 * @param ticket the ticket
	 * @param server the backend server
	 * @param lease the time after which the owner frees the slot
	 */
	record SlotGrant(ServiceName service, long ticket, BackendServerId server, long lease) implements DispatchMessage {
	}

	/**
	 * Refuses a slot.
	 *
	 * @param ticket the ticket
	 * @param reason the reason
	 * @param retryAfter the advised delay before a retry, 0 for none
	 */
	record SlotRefusal(long ticket, RefusalReason reason, long retryAfter) implements DispatchMessage {
	}

	/**
	 * Cancels a request for a slot, or returns the slot unused if it was granted.
	 *
	 * @param service the service
	 * @param ticket the ticket
	 */
	record SlotCancel(ServiceName service, long ticket) implements DispatchMessage {
	}

	/**
	 * Returns a slot.
	 *
	 * @param service the service
	 * @param ticket the ticket
	 * @param outcome how the attempt ended
	 */
	record SlotRelease(ServiceName service, long ticket, AttemptOutcome outcome) implements DispatchMessage {
	}

	/**
	 * Reports attempts that ended without a grant, and all slots that the sender still
	 * holds or waits for.
	 *
	 * @param service the service
	 * @param outcomes attempts that ended since the last report
	 * @param held attempts in flight
	 * @param waiting tickets that wait for a grant
	 * @param watermark the lowest ticket not yet issued; lower tickets that are in
	 * neither list will never be used again
	 */
	record OutcomeReport(ServiceName service, List<AttemptOutcome> outcomes, List<HeldSlot> held, List<Long> waiting,
			long watermark) implements DispatchMessage {

		public OutcomeReport {
			outcomes = List.copyOf(outcomes);
			held = List.copyOf(held);
			waiting = List.copyOf(waiting);
		}

	}

	/**
	 * Advises entry daemons on how to dispatch requests of a service.
	 *
	 * @param service the service
	 * @param mode the mode for short work
	 * @param servers the health of the region's servers as assessed by the owner
	 */
	record DispatchAdvice(ServiceName service, DispatchMode mode,
			List<AdvisedServer> servers) implements DispatchMessage {

		public DispatchAdvice {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * Requests that the owner registers a key, so that the request may run.
	 *
	 * @param query the number of the query, unique within one incarnation of the sender
	 * @param service the service
	 * @param key the key
	 * @param attempt the attempt number that the caller declared, 0 if none
	 * @param age the maximum possible age of the key
	 */
	record KeyRegistration(long query, ServiceName service, String key, int attempt,
			long age) implements DispatchMessage {
	}

	/**
	 * Asks the owner in another region whether it has seen a key. From then on the owner
	 * there treats the key as seen.
	 *
	 * @param query the number of the query, unique within one incarnation of the sender
	 * @param service the service
	 * @param key the key
	 * @param age the maximum possible age of the key
	 */
	record KeyQuery(long query, ServiceName service, String key, long age) implements DispatchMessage {
	}

	/**
	 * Answers a registration or a query.
	 *
	 * @param query the number of the query
	 * @param verdict the verdict
	 * @param outcome the outcome of the first request with
	 * {@link KeyVerdict.Verdict#SEEN}, if it is known
	 */
	record KeyVerdict(long query, Verdict verdict, @Nullable KeyResult outcome) implements DispatchMessage {

		/** The verdict of an owner about a key. */
		public enum Verdict {

			/**
			 * The register covers the time since the key was created and the key was not
			 * seen; the request may run.
			 */
			FIRST,

			/** The key was seen before. */
			SEEN,

			/**
			 * The register does not cover the time since the key was created, or this
			 * daemon has no tenure (the exclusive right to register the idempotency keys
			 * of the service in its region).
			 */
			CANNOT_VOUCH

		}

	}

	/**
	 * Reports to an owner how the request of a registration or query ended. It is ignored
	 * if another registration holds the key.
	 *
	 * @param query the number of the registration or query
	 * @param service the service
	 * @param key the key
	 * @param outcome the outcome
	 */
	record KeyOutcome(long query, ServiceName service, String key, KeyResult outcome) implements DispatchMessage {
	}

	/**
	 * Asks a daemon of the same region to promise that, for one lease, it accepts no
	 * other daemon than the sender as the one that registers the keys of a service.
	 *
	 * @param service the service
	 * @param round the number of the request, unique within one incarnation of the sender
	 * @param predecessor the daemon that handed its register over to the sender, if any
	 */
	record TenureRequest(ServiceName service, long round, @Nullable DaemonId predecessor) implements DispatchMessage {
	}

	/**
	 * Answers a request for tenure.
	 *
	 * @param service the service
	 * @param round the number of the request
	 * @param promised whether the promise is given
	 * @param exclusiveFor the time for which, as far as the answering daemon knows, it
	 * has had no promise in force to a daemon other than the requesting one and its
	 * predecessor
	 */
	record TenureReply(ServiceName service, long round, boolean promised,
			long exclusiveFor) implements DispatchMessage {
	}

	/**
	 * Releases a promise, so that the next owner need not wait for the end of the lease.
	 * The sender registers no more keys.
	 *
	 * @param service the service
	 */
	record TenureRelease(ServiceName service) implements DispatchMessage {
	}

	/**
	 * Transfers a part of a register to the next owner, after which the sender registers
	 * no more keys.
	 *
	 * @param service the service
	 * @param keys the keys
	 * @param keptSince the time for which the register has been complete
	 * @param part the number of this part, from 1
	 * @param parts the number of parts
	 */
	record RegisterTransfer(ServiceName service, List<RegisteredKey> keys, long keptSince, int part,
			int parts) implements DispatchMessage {

		public RegisterTransfer {
			keys = List.copyOf(keys);
		}

	}

	/**
	 * Confirms that all parts of a register were received.
	 *
	 * @param service the service
	 */
	record TransferReceived(ServiceName service) implements DispatchMessage {
	}

	/**
	 * Reports to the next owner that the sender's tenure was still in force when it
	 * received the confirmation, so that no other daemon can have had tenure in between.
	 *
	 * @param service the service
	 */
	record TransferCompleted(ServiceName service) implements DispatchMessage {
	}

	/**
	 * The outcome of an attempt.
	 *
	 * @param server the backend server
	 * @param workClass the class of work
	 * @param result the result
	 * @param duration the time from sending to the end
	 */
	record AttemptOutcome(BackendServerId server, WorkClass workClass, AttemptResult result, long duration) {
	}

	/**
	 * An attempt in flight.
	 *
	 * @param ticket the ticket
	 * @param server the backend server
	 * @param workClass the class of work
	 * @param remaining the time until its deadline
	 */
	record HeldSlot(long ticket, BackendServerId server, WorkClass workClass, long remaining) {
	}

	/**
	 * The health of a server as assessed by the owner.
	 *
	 * @param health the health
	 * @param lease the time for which an ejection may be applied, 0 for other states
	 */
	record AdvisedServer(ServerHealth health, long lease) {
	}

	/**
	 * A key in a register.
	 *
	 * @param key the key
	 * @param age the time since it was registered
	 * @param daemon the daemon that registered it
	 * @param query the number of the registration or query
	 * @param outcome the outcome, or {@code null} while it is unknown
	 */
	record RegisteredKey(String key, long age, DaemonId daemon, long query, @Nullable KeyResult outcome) {
	}

}
