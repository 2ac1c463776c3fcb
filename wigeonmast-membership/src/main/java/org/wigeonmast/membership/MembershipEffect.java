package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * An effect of the {@link MembershipList}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface MembershipEffect {

	/**
	 * Sends a message; loss is permitted.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(HostAddress to, MembershipMessage message) implements MembershipEffect {
	}

	/**
	 * Some members changed; {@link MembershipList#live()} returns the new view.
	 */
	record MembersChanged() implements MembershipEffect {
	}

	/**
	 * The member list is complete as far as it can be.
	 *
	 * @param answered whether a member answered; otherwise none did in time
	 */
	record Joined(boolean answered) implements MembershipEffect {
	}

	/**
	 * A member told which manifest is in force there.
	 *
	 * @param from the member's address
	 * @param stamp its version and hash
	 */
	record ManifestHeard(HostAddress from, VersionStamp stamp) implements MembershipEffect {
	}

	/**
	 * This daemon was paused, so what it believes of others may be outdated.
	 *
	 * @param duration the length of the pause in milliseconds, at least
	 */
	record Resumed(long duration) implements MembershipEffect {
	}

	/**
	 * Adds an audit entry.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements MembershipEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for its text
	 */
	record Report(MembershipEvent event, List<Object> parameters) implements MembershipEffect {

		public Report {
			parameters = List.copyOf(parameters);
		}
	}

}
