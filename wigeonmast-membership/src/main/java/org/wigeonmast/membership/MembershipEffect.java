package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * Effect that the {@link MembershipList} asks its caller to carry out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface MembershipEffect {

	/**
	 * Sends a message; the message may be lost.
	 *
	 * @param to the address of the receiver
	 * @param message the message
	 */
	record Send(HostAddress to, MembershipMessage message) implements MembershipEffect {
	}

	/**
	 * The set of live members or one of their records changed; see
	 * {@link MembershipList#live()}.
	 */
	record MembersChanged() implements MembershipEffect {
	}

	/**
	 * Joining has ended.
	 *
	 * @param memberAnswered whether a member answered; {@code false} if none did before
	 * the time-out
	 */
	record Joined(boolean memberAnswered) implements MembershipEffect {
	}

	/**
	 * A member reported which manifest it applies.
	 *
	 * @param from the member's address
	 * @param stamp the version and hash of that manifest
	 */
	record ManifestReported(HostAddress from, VersionStamp stamp) implements MembershipEffect {
	}

	/**
	 * This daemon was paused, so its view of other daemons may be outdated.
	 *
	 * @param pauseMs the minimum length of the pause in milliseconds
	 */
	record Resumed(long pauseMs) implements MembershipEffect {
	}

	/**
	 * Adds an entry to the audit trail.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements MembershipEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the placeholders of its text
	 */
	record Report(MembershipEvent event, List<Object> parameters) implements MembershipEffect {

		public Report {
			parameters = List.copyOf(parameters);
		}
	}

}
