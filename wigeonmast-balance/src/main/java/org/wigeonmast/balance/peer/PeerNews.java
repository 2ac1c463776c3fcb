package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.HostAddress;

/**
 * The latest changes of members, which are passed on once soon after they were learned,
 * and are listed in heartbeats for some time for the daemons that missed them.
 * <p>
 * Thread safety: none. Invariant: at most one change for each daemon, the latest one.
 */
final class PeerNews {

	/** Time in milliseconds for which a change is listed in heartbeats. */
	private static final long LISTED_FOR_MS = 10_000;

	/** Maximum number of changes that are kept for heartbeats. */
	private static final int MAX_LISTED = 256;

	private final Map<HostAddress, Member> pending = new LinkedHashMap<>();

	private final Map<HostAddress, DatedMember> recent = new LinkedHashMap<>();

	/**
	 * Adds a change, which replaces an earlier one of the same daemon.
	 * @param now the current monotonic time in milliseconds
	 * @param member the changed state
	 */
	void add(long now, Member member) {
		HostAddress address = member.peer().address();
		this.pending.put(address, member);
		this.recent.remove(address);
		this.recent.put(address, new DatedMember(member, now));
		if (this.recent.size() > MAX_LISTED) {
			this.recent.remove(this.recent.keySet().iterator().next());
		}
	}

	boolean hasPending() {
		return !this.pending.isEmpty();
	}

	/**
	 * Returns the oldest changes that were not passed on yet, which then count as passed
	 * on.
	 * @param limit the maximum number
	 * @return the changes
	 */
	List<Member> takePending(int limit) {
		List<Member> taken = this.pending.values().stream().limit(limit).toList();
		taken.forEach((member) -> this.pending.remove(member.peer().address()));
		return taken;
	}

	/**
	 * Returns the latest changes.
	 * @param now the current monotonic time in milliseconds
	 * @param limit the maximum number
	 * @return the changes, latest first
	 */
	List<Member> latest(long now, int limit) {
		this.recent.values().removeIf((member) -> now - member.at() > LISTED_FOR_MS);
		List<Member> all = new ArrayList<>();
		this.recent.values().forEach((member) -> all.add(member.member()));
		return all.reversed().subList(0, Math.min(limit, all.size()));
	}

	/**
	 * A change and when it was learned.
	 *
	 * @param member the changed state
	 * @param at the monotonic time in milliseconds
	 */
	private record DatedMember(Member member, long at) {
	}

}
