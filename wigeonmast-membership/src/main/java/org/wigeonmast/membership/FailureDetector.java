package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;

/**
 * SWIM failure detector. Probes one random member in each interval, directly and through
 * relays, and suspects members that do not answer.
 * <p>
 * Thread safety: none. Invariants: a member is declared dead only by a daemon that itself
 * failed to reach it, directly and indirectly, and did not reach it before the suspicion
 * timed out. If no relay answered while a probe failed, the fault may be this daemon's
 * own, so the suspicion stays local and is not sent to other daemons.
 */
final class FailureDetector {

	private static final int MAXIMUM_RELAYED_PINGS = 256;

	/** Maximum number of suspected members that are pinged again in each interval. */
	private static final int MAXIMUM_REPEATED_PINGS = 4;

	private final MembershipSettings settings;

	private final RandomGenerator random;

	private final MemberTable table;

	private final Actions actions;

	private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

	private final Map<Long, RelayedPing> relayedPings = new HashMap<>();

	private @Nullable Probe probe;

	private long nextProbeAt;

	private long nextPingNumber;

	private long suppressedUntil = Long.MIN_VALUE;

	FailureDetector(MembershipSettings settings, RandomGenerator random, MemberTable table, Actions actions) {
		this.settings = settings;
		this.random = random;
		this.table = table;
		this.actions = actions;
		this.nextPingNumber = random.nextLong() >>> 1;
	}

	void start(long now) {
		// A random delay spreads the probes of daemons that start together.
		this.nextProbeAt = now + this.random.nextLong(this.settings.probeInterval());
	}

	/**
	 * Discards the current probe and all suspicions, and suppresses new suspicions for
	 * some time.
	 * @param until the monotonic time in milliseconds until which no member is suspected
	 */
	void suppressSuspicions(long until) {
		this.probe = null;
		this.suspicions.clear();
		this.suppressedUntil = until;
	}

	void allowSuspicions() {
		this.suppressedUntil = Long.MIN_VALUE;
	}

	long nextTick() {
		long next = this.nextProbeAt;
		if (this.probe != null && !this.probe.targetAnswered && !this.probe.pingRepeated) {
			next = Math.min(next, this.probe.sentAt + this.settings.directTimeout());
		}
		return next;
	}

	void tick(long now) {
		Probe current = this.probe;
		if (current != null && !current.targetAnswered && !current.pingRepeated
				&& now >= current.sentAt + this.settings.directTimeout()) {
			repeatProbe(current);
		}
		if (now >= this.nextProbeAt) {
			if (current != null && !current.targetAnswered) {
				onProbeFailed(now, current);
			}
			checkSuspicions(now);
			startProbe(now);
			this.nextProbeAt = Math.max(this.nextProbeAt + this.settings.probeInterval(), now + 1);
		}
	}

	long newPingNumber() {
		return this.nextPingNumber++;
	}

	/**
	 * Handles an acknowledgement.
	 * @param now the current monotonic time in milliseconds
	 * @param number the number of the ping
	 * @param sender the sender's record
	 */
	void onAcknowledgement(long now, long number, Member sender) {
		this.suspicions.remove(sender.name());
		Probe current = this.probe;
		if (current != null && current.number == number) {
			if (current.name.equals(sender.name())) {
				current.targetAnswered = true;
			}
			else {
				// Another daemon uses the address now, so the probed one no longer runs.
				this.probe = null;
				this.actions.declareDead(now, current.name);
			}
		}
		RelayedPing relayedPing = this.relayedPings.remove(number);
		if (relayedPing != null) {
			this.actions.replyIndirectly(relayedPing.origin, relayedPing.number, sender);
		}
	}

	void relayPing(long now, HostAddress origin, long number, HostAddress target, List<Member> updates) {
		if (this.relayedPings.size() >= MAXIMUM_RELAYED_PINGS) {
			this.relayedPings.values().removeIf((relayedPing) -> relayedPing.expiresAt <= now);
		}
		if (this.relayedPings.size() < MAXIMUM_RELAYED_PINGS) {
			long pingNumber = newPingNumber();
			this.relayedPings.put(pingNumber, new RelayedPing(origin, number, now + this.settings.probeInterval()));
			this.actions.ping(pingNumber, target, (updates.isEmpty()) ? null : updates.getFirst().name());
		}
	}

	void onIndirectReply(long number, boolean reached) {
		Probe current = this.probe;
		if (current != null && current.number == number) {
			current.relayAnswered = true;
			current.targetAnswered |= reached;
			if (reached) {
				this.suspicions.remove(current.name);
			}
		}
	}

	/**
	 * Discards a local suspicion, for which the fault may have been this daemon's own.
	 * @param name the name of a member from which a message arrived
	 */
	void onMessageFrom(String name) {
		Suspicion suspicion = this.suspicions.get(name);
		if (suspicion != null && suspicion.localOnly) {
			this.suspicions.remove(name);
		}
	}

	private void startProbe(long now) {
		this.probe = null;
		MemberTable.Entry entry = this.table.randomLive(this.random);
		if (entry != null) {
			Probe next = new Probe(newPingNumber(), entry.member().name(), entry.member().address(), now);
			this.probe = next;
			this.actions.ping(next.number, next.address, next.name);
		}
	}

	private void repeatProbe(Probe current) {
		current.pingRepeated = true;
		this.actions.ping(current.number, current.address, current.name);
		for (MemberTable.Entry relay : this.table.randomLive(this.random, this.settings.relayCount(), current.name)) {
			this.actions.pingIndirectly(relay.member().address(), current.number, current.address, current.name);
		}
	}

	private void onProbeFailed(long now, Probe failedProbe) {
		MemberTable.Entry entry = this.table.get(failedProbe.name);
		if (now < this.suppressedUntil || entry == null || entry.isDead()) {
			return;
		}
		Suspicion earlierSuspicion = this.suspicions.get(failedProbe.name);
		if (earlierSuspicion != null && (!earlierSuspicion.localOnly || !failedProbe.relayAnswered)) {
			return;
		}
		boolean localOnly = !failedProbe.relayAnswered;
		long timeout = (localOnly) ? this.settings.isolationTimeout() : this.settings.suspicionTimeout();
		this.suspicions.put(failedProbe.name, new Suspicion(entry.member(), now + timeout, localOnly));
		if (!localOnly) {
			this.actions.suspect(now, failedProbe.name);
		}
	}

	private void checkSuspicions(long now) {
		List<String> resolvedNames = new ArrayList<>();
		int pings = 0;
		for (Map.Entry<String, Suspicion> suspicionEntry : this.suspicions.entrySet()) {
			String name = suspicionEntry.getKey();
			Suspicion suspicion = suspicionEntry.getValue();
			MemberTable.Entry entry = this.table.get(name);
			if (entry == null || entry.isDead() || !suspicion.appliesTo(entry.member())) {
				resolvedNames.add(name);
			}
			else if (now >= suspicion.deadline) {
				resolvedNames.add(name);
				if (suspicion.localOnly) {
					this.actions.markUnreachable(now, name);
				}
				else {
					this.actions.declareDead(now, name);
				}
			}
			else if (pings++ < MAXIMUM_REPEATED_PINGS) {
				this.actions.ping(newPingNumber(), entry.member().address(), name);
			}
		}
		resolvedNames.forEach(this.suspicions::remove);
	}

	/** Operations of the member list that the detector calls. */
	interface Actions {

		void ping(long number, HostAddress target, @Nullable String name);

		void pingIndirectly(HostAddress relay, long number, HostAddress target, String name);

		void replyIndirectly(HostAddress origin, long number, Member target);

		void suspect(long now, String name);

		void markUnreachable(long now, String name);

		void declareDead(long now, String name);

	}

	/** Probe of the current interval. */
	private static final class Probe {

		private final long number;

		private final String name;

		private final HostAddress address;

		private final long sentAt;

		private boolean pingRepeated;

		private boolean targetAnswered;

		private boolean relayAnswered;

		private Probe(long number, String name, HostAddress address, long sentAt) {
			this.number = number;
			this.name = name;
			this.address = address;
			this.sentAt = sentAt;
		}

	}

	/**
	 * Suspicion that a member has failed.
	 *
	 * @param member the suspected record; a higher revision refutes the suspicion
	 * @param deadline the monotonic time in milliseconds at which the member is declared
	 * dead or, if the suspicion is local, marked as unreachable
	 * @param localOnly whether other daemons are not notified
	 */
	private record Suspicion(Member member, long deadline, boolean localOnly) {

		boolean appliesTo(Member current) {
			return this.member.id().equals(current.id()) && this.member.revision() == current.revision();
		}
	}

	/**
	 * Ping that was sent on behalf of another daemon.
	 *
	 * @param origin the address of the other daemon
	 * @param number the number of the indirect ping
	 * @param expiresAt the monotonic time in milliseconds after which the other daemon no
	 * longer waits for a reply
	 */
	private record RelayedPing(HostAddress origin, long number, long expiresAt) {
	}

}
