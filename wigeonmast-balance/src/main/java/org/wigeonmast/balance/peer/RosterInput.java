package org.wigeonmast.balance.peer;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * An input of the {@link PeerRoster}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface RosterInput {

	/**
	 * The addresses at which to ask for daemons.
	 *
	 * @param addresses the addresses, which may be stale
	 */
	record Seeds(List<HostAddress> addresses) implements RosterInput {

		public Seeds {
			addresses = List.copyOf(addresses);
		}

	}

	/**
	 * A peer sent a message.
	 *
	 * @param message the message
	 */
	record Received(PeerMessage message) implements RosterInput {
	}

	/**
	 * News are to be told.
	 *
	 * @param news what was seen
	 * @param region the region in which the server runs
	 */
	record Tell(ServerNews news, Region region) implements RosterInput {
	}

	/**
	 * The revision of the published state that this daemon knows.
	 *
	 * @param revision the revision
	 * @param confirmedAt the monotonic time in milliseconds at which the store confirmed
	 * it
	 * @param steadySince the monotonic time in milliseconds since which the store has not
	 * been away
	 */
	record Revision(long revision, long confirmedAt, long steadySince) implements RosterInput {
	}

	/** This daemon is stopping. */
	record Leave() implements RosterInput {
	}

}
