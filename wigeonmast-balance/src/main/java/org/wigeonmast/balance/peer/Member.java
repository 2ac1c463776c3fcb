package org.wigeonmast.balance.peer;

/**
 * What a daemon knows of the state of another one or of itself.
 * <p>
 * Thread safety: immutable. Of two members with the same address, the one with the higher
 * incarnation is the later one; with the same incarnation, the one with the later state.
 *
 * @param peer the daemon
 * @param incarnation a number that only the daemon itself raises, at each start and when
 * it refutes a suspicion
 * @param state the state
 */
public record Member(Peer peer, long incarnation, MemberState state) {

	/**
	 * Returns whether this is later than another state of the same daemon.
	 * @param other the other state
	 * @return whether this one replaces it
	 */
	boolean isLaterThan(Member other) {
		return (this.incarnation != other.incarnation) ? this.incarnation > other.incarnation
				: this.state.compareTo(other.state) > 0;
	}

	Member withState(MemberState changed) {
		return new Member(this.peer, this.incarnation, changed);
	}

}
