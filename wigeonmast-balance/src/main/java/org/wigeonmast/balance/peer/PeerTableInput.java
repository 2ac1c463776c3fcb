package org.wigeonmast.balance.peer;

import java.util.List;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * An input of the {@link PeerTable}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface PeerTableInput {

	/**
	 * The addresses of daemons to contact while no other daemon is known.
	 *
	 * @param addresses the addresses, which may be outdated
	 */
	record SeedsChanged(List<HostAddress> addresses) implements PeerTableInput {

		public SeedsChanged {
			addresses = List.copyOf(addresses);
		}

	}

	/**
	 * A message was received from a peer.
	 *
	 * @param message the message
	 */
	record MessageReceived(PeerMessage message) implements PeerTableInput {
	}

	/**
	 * An observation of this daemon is to be sent to the peers concerned.
	 *
	 * @param observation the observation
	 * @param serverDomain the failure domain in which the server runs
	 */
	record SendObservation(ServerObservation observation, FailureDomain serverDomain) implements PeerTableInput {
	}

	/**
	 * The revision of the published state that this daemon knows has changed or was
	 * confirmed.
	 *
	 * @param revision the revision
	 * @param confirmedAt the monotonic time in milliseconds at which the store confirmed
	 * it
	 * @param steadySince the monotonic time in milliseconds since which the store has had
	 * no outage
	 */
	record RevisionConfirmed(long revision, long confirmedAt, long steadySince) implements PeerTableInput {
	}

	/** This daemon is shutting down. */
	record Leave() implements PeerTableInput {
	}

}
