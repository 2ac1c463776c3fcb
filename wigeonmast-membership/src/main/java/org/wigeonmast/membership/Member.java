package org.wigeonmast.membership;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * Record of one daemon in the fleet.
 * <p>
 * Thread safety: immutable. Invariant: only the daemon itself increases its revision, so
 * all daemons order its records in the same way; see {@link #canReplace(Member)}.
 *
 * @param id the name and incarnation of the daemon
 * @param revision the number of changes that the daemon has made to its own record
 * @param address the address at which it accepts messages of other daemons
 * @param failureDomain its failure domain, with its region
 * @param phase the lifecycle phase that it reports
 * @param status the liveness status
 */
public record Member(DaemonId id, long revision, HostAddress address, FailureDomain failureDomain, MemberPhase phase,
		MemberStatus status) {

	/**
	 * Returns the daemon's name.
	 * @return the name, unique in the fleet
	 */
	public String name() {
		return this.id.name();
	}

	/**
	 * Returns the daemon's region.
	 * @return the region
	 */
	public Region region() {
		return this.failureDomain.region();
	}

	/**
	 * Returns whether this record replaces another one of the same daemon.
	 * @param other the other record
	 * @return whether this record has a later incarnation or revision or, if both are
	 * equal, a later {@link MemberStatus}
	 */
	public boolean canReplace(Member other) {
		if (this.id.incarnation() != other.id.incarnation()) {
			return this.id.incarnation() > other.id.incarnation();
		}
		if (this.revision != other.revision) {
			return this.revision > other.revision;
		}
		return this.status.compareTo(other.status) > 0;
	}

	/**
	 * Returns this record with another status.
	 * @param newStatus the status
	 * @return the record
	 */
	public Member withStatus(MemberStatus newStatus) {
		return new Member(this.id, this.revision, this.address, this.failureDomain, this.phase, newStatus);
	}

	/**
	 * Returns the record that the daemon itself publishes next.
	 * @param newRevision its revision, higher than any that was published
	 * @param newPhase its phase
	 * @return the record, with the status {@link MemberStatus#LIVE}
	 */
	public Member withRevisionAndPhase(long newRevision, MemberPhase newPhase) {
		return new Member(this.id, newRevision, this.address, this.failureDomain, newPhase, MemberStatus.LIVE);
	}

}
