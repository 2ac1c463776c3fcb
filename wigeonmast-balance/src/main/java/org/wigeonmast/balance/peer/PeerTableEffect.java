package org.wigeonmast.balance.peer;

import java.util.List;

import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.core.HostAddress;

/**
 * An effect that the {@link PeerTable} asks its caller to carry out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface PeerTableEffect {

	/**
	 * Sends a datagram, which may be lost.
	 *
	 * @param receiver the address of the receiver
	 * @param message the message; the suspicions and the load of this daemon are added to
	 * heartbeats
	 */
	record Send(HostAddress receiver, PeerMessage message) implements PeerTableEffect {
	}

	/**
	 * The number of live daemons changed.
	 *
	 * @param daemons the number, including this daemon
	 */
	record FleetSizeChanged(int daemons) implements PeerTableEffect {
	}

	/**
	 * A peer reported an observation of a backend server.
	 *
	 * @param observation the observation
	 */
	record ObservationReceived(ServerObservation observation) implements PeerTableEffect {
	}

	/**
	 * A peer reported that it suspects a backend server.
	 *
	 * @param report the report
	 */
	record SuspicionReceived(SuspicionReport report) implements PeerTableEffect {
	}

	/**
	 * A peer reported the revision of the published state that it knows.
	 *
	 * @param revision the revision
	 * @param age the time in milliseconds since the store confirmed it
	 * @param steadyFor the time in milliseconds since the last outage of the store
	 */
	record PeerRevisionReceived(long revision, long age, long steadyFor) implements PeerTableEffect {
	}

	/**
	 * A peer reported its load.
	 *
	 * @param peer the address of the peer
	 * @param loads the load by service
	 */
	record LoadReceived(HostAddress peer, List<ServiceLoad> loads) implements PeerTableEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(BalanceEvent event, List<Object> parameters) implements PeerTableEffect {
	}

}
