package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * Input of the {@link MembershipList}.
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
	 * list. The host list may lag, so a member that is missing from it is not removed.
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
	 * This daemon applied another manifest.
	 *
	 * @param stamp the version and hash of that manifest
	 */
	record ManifestApplied(VersionStamp stamp) implements MembershipInput {
	}

	/**
	 * This daemon stops. The resulting effects announce the shutdown to other members;
	 * the member list must not be used afterwards.
	 */
	record Stopped() implements MembershipInput {
	}

}
