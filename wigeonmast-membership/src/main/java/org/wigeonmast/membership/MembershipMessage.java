package org.wigeonmast.membership;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.follow.VersionStamp;

/**
 * Message between the member lists of two daemons.
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
	 * Returns the member records that are piggybacked on the message.
	 * @return the records
	 */
	List<Member> updates();

	/**
	 * Asks whether the receiver is alive.
	 *
	 * @param number identifies the ping
	 * @param sender the sender
	 * @param manifest the version and hash of the manifest that the sender applies
	 * @param updates the records that changed recently
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
	 * @param manifest the version and hash of the manifest that the sender applies
	 * @param updates the records that changed recently
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
	 * @param number identifies the indirect ping
	 * @param sender the sender
	 * @param target the address of the member to ping
	 * @param updates the record of the target if the sender knows it, otherwise empty
	 */
	record IndirectPing(long number, Member sender, HostAddress target,
			List<Member> updates) implements MembershipMessage {

		public IndirectPing {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Answers an indirect ping. The first reply is sent at once and only shows that the
	 * relay is reachable; a second reply with the target's record follows if the target
	 * answers.
	 *
	 * @param number the number of the indirect ping
	 * @param sender the sender
	 * @param updates the record of the target if it answered, otherwise records that
	 * changed recently
	 * @param reached whether the target answered
	 */
	record IndirectReply(long number, Member sender, List<Member> updates,
			boolean reached) implements MembershipMessage {

		public IndirectReply {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Disseminates changed records.
	 *
	 * @param sender the sender
	 * @param updates the records that changed recently
	 */
	record Gossip(Member sender, List<Member> updates) implements MembershipMessage {

		public Gossip {
			updates = List.copyOf(updates);
		}
	}

	/**
	 * Requests the records that differ from those of the sender.
	 *
	 * @param sender the sender
	 * @param digest the bucket hashes of the sender's {@link MemberDigest}; empty to
	 * request all records
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
	 * One page of the answer to a {@link SyncRequest}.
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
