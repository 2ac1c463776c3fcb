package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Region;

/**
 * Table of the records of all other daemons, with random selection in constant time.
 * <p>
 * Thread safety: none. Invariant: each entry is in exactly one of the lists of local
 * members, remote members and dead members.
 */
final class MemberTable {

	/**
	 * Fraction of random selections that prefer this daemon's region, because traffic
	 * between regions shares a link that is billed by volume.
	 */
	private static final double LOCAL_SHARE = 0.75;

	private final Region region;

	private final Map<String, Entry> entries = new HashMap<>();

	private final List<Entry> local = new ArrayList<>();

	private final List<Entry> remote = new ArrayList<>();

	private final List<Entry> dead = new ArrayList<>();

	private final MemberDigest digest = new MemberDigest();

	MemberTable(Region region) {
		this.region = region;
	}

	@Nullable Entry get(String name) {
		return this.entries.get(name);
	}

	MemberDigest digest() {
		return this.digest;
	}

	int size() {
		return this.entries.size();
	}

	int liveCount() {
		return this.local.size() + this.remote.size();
	}

	int deadCount() {
		return this.dead.size();
	}

	/**
	 * Adds or replaces the record of a daemon.
	 * @param now the current monotonic time in milliseconds
	 * @param member the record
	 */
	void put(long now, Member member) {
		Entry entry = this.entries.get(member.name());
		if (entry == null) {
			entry = new Entry(member);
			this.entries.put(member.name(), entry);
		}
		else {
			remove(listOf(entry.member), entry);
			if (!entry.isDead()) {
				this.digest.toggle(entry.member);
			}
			entry.member = member;
		}
		entry.unreachable = false;
		entry.since = now;
		List<Entry> list = listOf(member);
		entry.position = list.size();
		list.add(entry);
		if (!entry.isDead()) {
			this.digest.toggle(member);
		}
	}

	/**
	 * Marks all members as reachable.
	 * @return whether any member was unreachable
	 */
	boolean clearUnreachable() {
		boolean cleared = false;
		for (Entry entry : this.entries.values()) {
			cleared |= entry.unreachable;
			entry.unreachable = false;
		}
		return cleared;
	}

	/**
	 * Removes members that have been dead for a long time.
	 * @param time the monotonic time in milliseconds; members that were declared dead at
	 * or before it are removed
	 */
	void dropDeadSince(long time) {
		for (int i = this.dead.size() - 1; i >= 0; i--) {
			Entry entry = this.dead.get(i);
			if (entry.since <= time) {
				remove(this.dead, entry);
				this.entries.remove(entry.member.name());
			}
		}
	}

	@Nullable Entry randomLive(RandomGenerator random) {
		boolean chooseLocal = this.remote.isEmpty() || (!this.local.isEmpty() && random.nextDouble() < LOCAL_SHARE);
		return randomOf(random, chooseLocal ? this.local : this.remote);
	}

	@Nullable Entry randomDead(RandomGenerator random) {
		return randomOf(random, this.dead);
	}

	/**
	 * Returns distinct live members, chosen at random.
	 * @param random the random number generator
	 * @param count the maximum number of members
	 * @param excluded the name of a member that is not returned, or {@code null}
	 * @return the members, possibly fewer than {@code count}
	 */
	List<Entry> randomLive(RandomGenerator random, int count, @Nullable String excluded) {
		List<Entry> chosen = new ArrayList<>(count);
		// Extra attempts compensate for members that are drawn more than once.
		for (int i = 0; i < 4 * count && chosen.size() < count; i++) {
			Entry entry = randomLive(random);
			if (entry != null && !entry.member.name().equals(excluded) && !chosen.contains(entry)) {
				chosen.add(entry);
			}
		}
		return chosen;
	}

	/**
	 * Returns the records of all members that have not been declared dead.
	 * @param reachableOnly whether members that this daemon cannot reach are left out
	 * @return the records
	 */
	List<Member> live(boolean reachableOnly) {
		List<Member> members = new ArrayList<>(liveCount());
		for (List<Entry> list : List.of(this.local, this.remote)) {
			for (Entry entry : list) {
				if (!reachableOnly || !entry.unreachable) {
					members.add(entry.member);
				}
			}
		}
		return members;
	}

	private static @Nullable Entry randomOf(RandomGenerator random, List<Entry> list) {
		return list.isEmpty() ? null : list.get(random.nextInt(list.size()));
	}

	private static void remove(List<Entry> list, Entry entry) {
		Entry last = list.removeLast();
		if (last != entry) {
			list.set(entry.position, last);
			last.position = entry.position;
		}
	}

	private List<Entry> listOf(Member member) {
		if (member.status() == MemberStatus.DEAD) {
			return this.dead;
		}
		return member.region().equals(this.region) ? this.local : this.remote;
	}

	/** Record of another daemon, with this daemon's local view of it. */
	static final class Entry {

		private Member member;

		private int position;

		private long since;

		private boolean unreachable;

		private Entry(Member member) {
			this.member = member;
		}

		Member member() {
			return this.member;
		}

		boolean isDead() {
			return this.member.status() == MemberStatus.DEAD;
		}

		/**
		 * Returns whether this daemon counts the member as dead in its local view only.
		 * Other daemons are not notified, because the fault may be this daemon's own.
		 * @return whether the member is unreachable from this daemon
		 */
		boolean unreachable() {
			return this.unreachable;
		}

		void setUnreachable(boolean value) {
			this.unreachable = value;
		}

	}

}
