package org.wigeonmast.manifest.follow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.wigeonmast.core.HostAddress;

/**
 * A poll of the versions of the other members, which a daemon runs before it becomes
 * ready.
 * <p>
 * Thread safety: none. Invariants: only replies to the current round count, and only
 * while their senders are live; the reply of a member that is not ready itself counts
 * only once all members have replied, since it may just have started without any version.
 */
final class ReadinessPoll {

	private static final long MAX_INTERVAL_MS = 2000;

	private final ManifestFollowerSettings settings;

	private final RandomGenerator random;

	private final Map<HostAddress, Reply> replies = new HashMap<>();

	private List<Peer> members = List.of();

	private long round;

	private long interval;

	private long nextQueryAt;

	ReadinessPoll(ManifestFollowerSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Starts a new round and discards the replies to earlier ones.
	 * @param now the current monotonic time in milliseconds
	 */
	void startRound(long now) {
		this.replies.clear();
		this.round = this.random.nextLong() >>> 1;
		this.interval = this.settings.queryInterval();
		this.nextQueryAt = now;
	}

	void setMembers(List<Peer> newMembers) {
		this.members = newMembers;
	}

	long nextTick() {
		return this.nextQueryAt;
	}

	void tick(long now, List<ManifestFollowerEffect> effects) {
		if (now >= this.nextQueryAt) {
			this.nextQueryAt = now + this.interval;
			this.interval = Math.min(2 * this.interval, MAX_INTERVAL_MS);
			for (Peer peer : this.members) {
				if (!this.replies.containsKey(peer.address())) {
					effects.add(new ManifestFollowerEffect.Send(peer.address(), new ManifestMessage.Query(this.round)));
				}
			}
		}
	}

	void recordReply(HostAddress from, ManifestMessage.QueryReply reply) {
		if (reply.number() == this.round) {
			this.replies.put(from, new Reply(reply.stamp().version(), reply.ready()));
		}
	}

	int replyCount() {
		return (int) this.members.stream().filter((peer) -> this.replies.containsKey(peer.address())).count();
	}

	int memberCount() {
		return this.members.size();
	}

	/**
	 * Returns whether enough members have replied.
	 * @return whether every majority of the region includes a member that has replied
	 */
	boolean isComplete() {
		int quorum = (this.members.size() + 1) / 2 + 1;
		long ready = this.members.stream().filter((peer) -> {
			Reply reply = this.replies.get(peer.address());
			return reply != null && reply.ready;
		}).count();
		return ready >= quorum || replyCount() == this.members.size();
	}

	/**
	 * Returns the highest version in the replies of live members.
	 * @return the version, 0 for none
	 */
	long highestVersion() {
		long highest = 0;
		for (Peer peer : this.members) {
			Reply reply = this.replies.get(peer.address());
			highest = (reply != null) ? Math.max(highest, reply.version) : highest;
		}
		return highest;
	}

	private record Reply(long version, boolean ready) {
	}

}
