package org.wigeonmast.balance.peer;

import java.util.List;

import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.core.HostAddress;

/**
 * An effect that the {@link PeerRoster} asks its caller to carry out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface RosterEffect {

	/**
	 * Sends a datagram, which may get lost.
	 *
	 * @param receiver the receiver
	 * @param message the message
	 * @param greeting whether it is a greeting, which also says what this daemon believes
	 */
	record Send(HostAddress receiver, PeerMessage message, boolean greeting) implements RosterEffect {
	}

	/**
	 * The number of live daemons changed.
	 *
	 * @param daemons the number with this daemon
	 */
	record SizeChanged(int daemons) implements RosterEffect {
	}

	/**
	 * A peer told what it saw.
	 *
	 * @param news the news
	 */
	record News(ServerNews news) implements RosterEffect {
	}

	/**
	 * A peer told what it believes.
	 *
	 * @param rumour what it believes of a suspected server
	 */
	record Rumoured(Rumour rumour) implements RosterEffect {
	}

	/**
	 * A peer knows a revision of the published state.
	 *
	 * @param revision the revision
	 * @param age the time in milliseconds since the store confirmed it
	 * @param steadyFor the time in milliseconds for which the store has not been away
	 */
	record PeerRevision(long revision, long age, long steadyFor) implements RosterEffect {
	}

	/**
	 * A peer told how many requests it gets.
	 *
	 * @param peer the address of the peer
	 * @param loads the requests that it gets, by service
	 */
	record PeerLoad(HostAddress peer, List<ServiceLoad> loads) implements RosterEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(BalanceEvent event, List<Object> parameters) implements RosterEffect {
	}

}
