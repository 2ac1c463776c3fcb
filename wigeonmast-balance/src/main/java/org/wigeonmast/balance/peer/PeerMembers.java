package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;

/**
 * The other daemons of the fleet with their latest known states. The daemons that are
 * gone are remembered for {@link #FORGET_AFTER_MS}, so that outdated news do not bring
 * them back and the fleet finds them again after a partition.
 * <p>
 * Thread safety: none. Invariants: an address is either live or gone; a state is replaced
 * by a later one only.
 */
final class PeerMembers {

	/** Time in milliseconds for which a daemon that is gone is remembered. */
	static final long FORGET_AFTER_MS = 600_000;

	/** Time in milliseconds for which a daemon that is gone is listed to others. */
	private static final long LISTED_AS_GONE_MS = 120_000;

	/** Odd factor that spreads the bits of a hash code. */
	private static final int HASH_FACTOR = 0x9E3779B1;

	private final Map<HostAddress, Member> live = new HashMap<>();

	private final List<HostAddress> liveAddresses = new ArrayList<>();

	private final Map<HostAddress, GoneMember> gone = new HashMap<>();

	private final RandomGenerator random;

	private int digest;

	PeerMembers(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Applies the state of a daemon if it is later than the known one.
	 * @param now the current monotonic time in milliseconds
	 * @param member the state
	 * @return whether it was applied
	 */
	boolean apply(long now, Member member) {
		HostAddress address = member.peer().address();
		Member known = find(address);
		if (known != null && !member.isLaterThan(known)) {
			return false;
		}
		if (member.state() == MemberState.GONE) {
			removeLive(address);
			this.gone.put(address, new GoneMember(member, now));
		}
		else {
			this.gone.remove(address);
			Member replaced = this.live.put(address, member);
			this.digest += memberDigest(member);
			if (replaced == null) {
				this.liveAddresses.add(address);
			}
			else {
				this.digest -= memberDigest(replaced);
			}
		}
		return true;
	}

	/**
	 * Withdraws the suspicion of a daemon that proved to be alive.
	 * @param address the address
	 */
	void clearSuspicion(HostAddress address) {
		this.live.computeIfPresent(address, (key, member) -> member.withState(MemberState.ALIVE));
	}

	/**
	 * Returns the latest known state of a daemon.
	 * @param address the address
	 * @return the state, or {@code null} if the daemon is unknown
	 */
	@Nullable Member find(HostAddress address) {
		Member member = this.live.get(address);
		if (member != null) {
			return member;
		}
		GoneMember goneMember = this.gone.get(address);
		return (goneMember != null) ? goneMember.member() : null;
	}

	Collection<Member> live() {
		return this.live.values();
	}

	int liveCount() {
		return this.live.size();
	}

	/**
	 * Returns a random live daemon.
	 * @return the daemon, or {@code null} if there is none
	 */
	@Nullable Member anyLive() {
		return this.liveAddresses.isEmpty() ? null
				: this.live.get(this.liveAddresses.get(this.random.nextInt(this.liveAddresses.size())));
	}

	/**
	 * Returns a random daemon that is gone, and forgets those that have been gone for
	 * long.
	 * @param now the current monotonic time in milliseconds
	 * @return the daemon, or {@code null} if there is none
	 */
	@Nullable Member anyGone(long now) {
		this.gone.values().removeIf((member) -> now - member.since() > FORGET_AFTER_MS);
		if (this.gone.isEmpty()) {
			return null;
		}
		return this.gone.values().stream().skip(this.random.nextInt(this.gone.size())).findFirst().get().member();
	}

	/**
	 * Returns random live daemons.
	 * @param limit the maximum number
	 * @return the daemons, without repetition
	 */
	List<Member> sampleLive(int limit) {
		int count = this.liveAddresses.size();
		List<Member> sample = new ArrayList<>();
		for (int i = 0; i < Math.min(limit, count); i++) {
			int selected = i + this.random.nextInt(count - i);
			HostAddress address = this.liveAddresses.get(selected);
			this.liveAddresses.set(selected, this.liveAddresses.get(i));
			this.liveAddresses.set(i, address);
			sample.add(this.live.get(address));
		}
		return sample;
	}

	/**
	 * Returns a digest of the live daemons and their incarnations.
	 * @param self this daemon, which counts as one of them
	 * @return the digest, equal for tables with the same content
	 */
	int digest(Member self) {
		return this.digest + memberDigest(self);
	}

	/**
	 * Returns all live daemons, and those that were lost lately.
	 * @param now the current monotonic time in milliseconds
	 * @return the daemons
	 */
	List<Member> liveAndLatelyGone(long now) {
		List<Member> all = new ArrayList<>(this.live.values());
		this.gone.values()
			.stream()
			.filter((member) -> now - member.since() < LISTED_AS_GONE_MS)
			.forEach((member) -> all.add(member.member()));
		return all;
	}

	private static int memberDigest(Member member) {
		int hash = member.peer().address().hashCode() * HASH_FACTOR + Long.hashCode(member.incarnation());
		return hash * HASH_FACTOR;
	}

	private void removeLive(HostAddress address) {
		Member removed = this.live.remove(address);
		if (removed != null) {
			this.liveAddresses.remove(address);
			this.digest -= memberDigest(removed);
		}
	}

	/**
	 * A daemon that is gone.
	 *
	 * @param member its last state
	 * @param since the monotonic time in milliseconds at which this daemon learned it
	 */
	private record GoneMember(Member member, long since) {
	}

}
