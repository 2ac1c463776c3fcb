package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * A message between the member lists of two daemons.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface MembershipMessage {

	/**
	 * Returns the sender's own record.
	 * @return the record
	 */
	Member sender();

	/**
	 * Returns the records that travel with the message.
	 * @return the records
	 */
	List<Member> updates();

	/**
	 * Asks whether the receiver is alive.
	 *
	 * @param number identifies the question
	 * @param sender the sender
	 * @param manifest the manifest in force at the sender
	 * @param updates records that changed
	 */
	record Ping(long number, Member sender, VersionStamp manifest, List<Member> updates) implements MembershipMessage {

		public Ping {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Answers a ping.
	 *
	 * @param number the number of the ping
	 * @param sender the sender
	 * @param manifest the manifest in force at the sender
	 * @param updates records that changed
	 */
	record Acknowledgement(long number, Member sender, VersionStamp manifest,
			List<Member> updates) implements MembershipMessage {

		public Acknowledgement {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Asks the receiver to ping another member.
	 *
	 * @param number identifies the question
	 * @param sender the sender
	 * @param target the address of the member to ping
	 * @param updates records that changed, first that of the target
	 */
	record IndirectPing(long number, Member sender, HostAddress target,
			List<Member> updates) implements MembershipMessage {

		public IndirectPing {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Answers an indirect ping, at once without a subject to show that the relay is
	 * reachable, and again with the subject's record when the subject answered.
	 *
	 * @param number the number of the indirect ping
	 * @param sender the sender
	 * @param updates records that changed, first that of the subject if it answered
	 * @param reached whether the subject answered
	 */
	record IndirectReply(long number, Member sender, List<Member> updates,
			boolean reached) implements MembershipMessage {

		public IndirectReply {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Passes changed records on.
	 *
	 * @param sender the sender
	 * @param updates records that changed
	 */
	record Gossip(Member sender, List<Member> updates) implements MembershipMessage {

		public Gossip {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Asks for the records that differ from those of the sender.
	 *
	 * @param sender the sender
	 * @param digest the digest of the records that the sender has, as
	 * {@link MemberDigest} makes it; empty to ask for all records
	 */
	record SyncRequest(Member sender, List<Long> digest) implements MembershipMessage {

		public SyncRequest {
			digest = List.copyOf(digest);
		}

		@Override
		public List<Member> updates() {
			return List.of();
		}
	}

	/**
	 * Holds one page of the records that were asked for.
	 *
	 * @param sender the sender
	 * @param updates the records of the page
	 * @param last whether this is the last page
	 */
	record SyncReply(Member sender, List<Member> updates, boolean last) implements MembershipMessage {

		public SyncReply {
			updates = List.copyOf(updates);
		}
	}

}
