package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * An input of the {@link MembershipList}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface MembershipInput {

	/**
	 * A message arrived.
	 *
	 * @param from the address of the sender
	 * @param message the message
	 */
	record Received(HostAddress from, MembershipMessage message) implements MembershipInput {
	}

	/**
	 * The addresses at which daemons may run, from the settings and the platform's host
	 * list. The list may lag: members are never removed because of it.
	 *
	 * @param addresses the addresses
	 */
	record SeedsChanged(List<HostAddress> addresses) implements MembershipInput {

		public SeedsChanged {
			addresses = List.copyOf(addresses);
		}
	}

	/**
	 * This daemon changed its phase.
	 *
	 * @param phase the phase to announce
	 */
	record PhaseChanged(MemberPhase phase) implements MembershipInput {
	}

	/**
	 * Another manifest is in force in this daemon.
	 *
	 * @param stamp its version and hash
	 */
	record ManifestInForce(VersionStamp stamp) implements MembershipInput {
	}

	/**
	 * This daemon stops; the component returns its farewell and must not be used after.
	 */
	record Stopped() implements MembershipInput {
	}

}
