package org.wigeonmast.core;

/**
 * Identity of one run of a daemon process.
 * <p>
 * Thread safety: immutable. Invariant: a daemon that restarts under the same name has a
 * higher incarnation.
 *
 * @param name the daemon's name, unique in the fleet
 * @param incarnation the number of this run, higher than that of earlier runs
 */
public record DaemonId(String name, long incarnation) implements Comparable<DaemonId> {

	@Override
	public int compareTo(DaemonId other) {
		int byName = this.name.compareTo(other.name);
		return (byName != 0) ? byName : Long.compare(this.incarnation, other.incarnation);
	}

	@Override
	public String toString() {
		return this.name + "#" + this.incarnation;
	}

}
