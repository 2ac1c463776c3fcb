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

	private static final long MAXIMUM_INTERVAL = 2000;

	private final ManifestFollowerSettings settings;

	private final RandomGenerator random;

	private final Map<HostAddress, Answer> answers = new HashMap<>();

	private List<Peer> asked = List.of();

	private long number;

	private long interval;

	private long nextAsk;

	ReadinessPoll(ManifestFollowerSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Starts a new round and discards the replies to earlier ones.
	 * @param now the current monotonic time in milliseconds
	 */
	void start(long now) {
		this.answers.clear();
		this.number = this.random.nextLong() >>> 1;
		this.interval = this.settings.queryInterval();
		this.nextAsk = now;
	}

	void setAsked(List<Peer> peers) {
		this.asked = peers;
	}

	long nextTick() {
		return this.nextAsk;
	}

	void tick(long now, List<ManifestFollowerEffect> effects) {
		if (now >= this.nextAsk) {
			this.nextAsk = now + this.interval;
			this.interval = Math.min(2 * this.interval, MAXIMUM_INTERVAL);
			for (Peer peer : this.asked) {
				if (!this.answers.containsKey(peer.address())) {
					effects
						.add(new ManifestFollowerEffect.Send(peer.address(), new ManifestMessage.Query(this.number)));
				}
			}
		}
	}

	void answered(HostAddress from, ManifestMessage.QueryReply reply) {
		if (reply.number() == this.number) {
			this.answers.put(from, new Answer(reply.stamp().version(), reply.ready()));
		}
	}

	int answerCount() {
		return (int) this.asked.stream().filter((peer) -> this.answers.containsKey(peer.address())).count();
	}

	int askedCount() {
		return this.asked.size();
	}

	/**
	 * Returns whether enough members have replied.
	 * @return whether every majority of the region includes a member that has replied
	 */
	boolean isComplete() {
		int quorum = (this.asked.size() + 1) / 2 + 1;
		long ready = this.asked.stream().filter((peer) -> {
			Answer answer = this.answers.get(peer.address());
			return answer != null && answer.ready;
		}).count();
		return ready >= quorum || answerCount() == this.asked.size();
	}

	/**
	 * Returns the highest version in the replies of live members.
	 * @return the version, 0 for none
	 */
	long highestVersion() {
		long highest = 0;
		for (Peer peer : this.asked) {
			Answer answer = this.answers.get(peer.address());
			highest = (answer != null) ? Math.max(highest, answer.version) : highest;
		}
		return highest;
	}

	private record Answer(long version, boolean ready) {
	}

}
