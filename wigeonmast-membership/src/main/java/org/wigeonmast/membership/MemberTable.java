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
	private static final double LOCAL_REGION_FRACTION = 0.75;

	private final Region region;

	private final Map<String, Entry> entries = new HashMap<>();

	private final List<Entry> localMembers = new ArrayList<>();

	private final List<Entry> remoteMembers = new ArrayList<>();

	private final List<Entry> deadMembers = new ArrayList<>();

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
		return this.localMembers.size() + this.remoteMembers.size();
	}

	int deadCount() {
		return this.deadMembers.size();
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
			remove(listFor(entry.member), entry);
			if (!entry.isDead()) {
				this.digest.toggle(entry.member);
			}
			entry.member = member;
		}
		entry.unreachable = false;
		entry.updatedAt = now;
		List<Entry> list = listFor(member);
		entry.listIndex = list.size();
		list.add(entry);
		if (!entry.isDead()) {
			this.digest.toggle(member);
		}
	}

	/**
	 * Marks all members as reachable.
	 * @return whether any member was unreachable
	 */
	boolean markAllReachable() {
		boolean anyUnreachable = false;
		for (Entry entry : this.entries.values()) {
			anyUnreachable |= entry.unreachable;
			entry.unreachable = false;
		}
		return anyUnreachable;
	}

	/**
	 * Removes members that have been dead for a long time.
	 * @param timeMs the monotonic time in milliseconds; members that were declared dead
	 * at or before it are removed
	 */
	void removeDeadSince(long timeMs) {
		for (int i = this.deadMembers.size() - 1; i >= 0; i--) {
			Entry entry = this.deadMembers.get(i);
			if (entry.updatedAt <= timeMs) {
				remove(this.deadMembers, entry);
				this.entries.remove(entry.member.name());
			}
		}
	}

	@Nullable Entry randomLive(RandomGenerator random) {
		boolean chooseLocal = this.remoteMembers.isEmpty()
				|| (!this.localMembers.isEmpty() && random.nextDouble() < LOCAL_REGION_FRACTION);
		return randomEntry(random, chooseLocal ? this.localMembers : this.remoteMembers);
	}

	@Nullable Entry randomDead(RandomGenerator random) {
		return randomEntry(random, this.deadMembers);
	}

	/**
	 * Returns distinct live members, chosen at random.
	 * @param random the random number generator
	 * @param count the maximum number of members
	 * @param excludedName the name of a member that is not returned, or {@code null}
	 * @return the members, possibly fewer than {@code count}
	 */
	List<Entry> randomLive(RandomGenerator random, int count, @Nullable String excludedName) {
		List<Entry> selection = new ArrayList<>(count);
		// Extra attempts compensate for members that are drawn more than once.
		for (int i = 0; i < 4 * count && selection.size() < count; i++) {
			Entry entry = randomLive(random);
			if (entry != null && !entry.member.name().equals(excludedName) && !selection.contains(entry)) {
				selection.add(entry);
			}
		}
		return selection;
	}

	/**
	 * Returns the records of all members that have not been declared dead.
	 * @param reachableOnly whether members that this daemon cannot reach are left out
	 * @return the records
	 */
	List<Member> live(boolean reachableOnly) {
		List<Member> members = new ArrayList<>(liveCount());
		for (List<Entry> list : List.of(this.localMembers, this.remoteMembers)) {
			for (Entry entry : list) {
				if (!reachableOnly || !entry.unreachable) {
					members.add(entry.member);
				}
			}
		}
		return members;
	}

	private static @Nullable Entry randomEntry(RandomGenerator random, List<Entry> list) {
		return list.isEmpty() ? null : list.get(random.nextInt(list.size()));
	}

	private static void remove(List<Entry> list, Entry entry) {
		Entry last = list.removeLast();
		if (last != entry) {
			list.set(entry.listIndex, last);
			last.listIndex = entry.listIndex;
		}
	}

	private List<Entry> listFor(Member member) {
		if (member.status() == MemberStatus.DEAD) {
			return this.deadMembers;
		}
		return member.region().equals(this.region) ? this.localMembers : this.remoteMembers;
	}

	/** Record of another daemon, with this daemon's local view of it. */
	static final class Entry {

		private Member member;

		private int listIndex;

		private long updatedAt;

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
		boolean isUnreachable() {
			return this.unreachable;
		}

		void setUnreachable(boolean value) {
			this.unreachable = value;
		}

	}

}
