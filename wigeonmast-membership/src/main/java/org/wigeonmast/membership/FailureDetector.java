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

	private static final int MAXIMUM_RELAYED = 256;

	/** Maximum number of suspected members that are pinged again in each interval. */
	private static final int REPEATED_PINGS = 4;

	private final MembershipSettings settings;

	private final RandomGenerator random;

	private final MemberTable table;

	private final Actions actions;

	private final Map<String, Accusation> accusations = new LinkedHashMap<>();

	private final Map<Long, Relayed> relayed = new HashMap<>();

	private @Nullable Probe probe;

	private long nextProbe;

	private long nextNumber;

	private long quietUntil = Long.MIN_VALUE;

	FailureDetector(MembershipSettings settings, RandomGenerator random, MemberTable table, Actions actions) {
		this.settings = settings;
		this.random = random;
		this.table = table;
		this.actions = actions;
		this.nextNumber = random.nextLong() >>> 1;
	}

	void start(long now) {
		// A random delay spreads the probes of daemons that start together.
		this.nextProbe = now + this.random.nextLong(this.settings.probeInterval());
	}

	/**
	 * Discards the current probe and all suspicions, and suppresses new suspicions for
	 * some time.
	 * @param until the monotonic time in milliseconds until which no member is suspected
	 */
	void beQuiet(long until) {
		this.probe = null;
		this.accusations.clear();
		this.quietUntil = until;
	}

	void endQuiet() {
		this.quietUntil = Long.MIN_VALUE;
	}

	long nextTick() {
		long next = this.nextProbe;
		if (this.probe != null && !this.probe.answered && !this.probe.repeated) {
			next = Math.min(next, this.probe.sentAt + this.settings.directTimeout());
		}
		return next;
	}

	void tick(long now) {
		Probe current = this.probe;
		if (current != null && !current.answered && !current.repeated
				&& now >= current.sentAt + this.settings.directTimeout()) {
			repeat(current);
		}
		if (now >= this.nextProbe) {
			if (current != null && !current.answered) {
				conclude(now, current);
			}
			judge(now);
			begin(now);
			this.nextProbe = Math.max(this.nextProbe + this.settings.probeInterval(), now + 1);
		}
	}

	long newNumber() {
		return this.nextNumber++;
	}

	/**
	 * Handles an acknowledgement.
	 * @param now the current monotonic time in milliseconds
	 * @param number the number of the ping
	 * @param sender the sender's record
	 */
	void acknowledged(long now, long number, Member sender) {
		this.accusations.remove(sender.name());
		Probe current = this.probe;
		if (current != null && current.number == number) {
			if (current.name.equals(sender.name())) {
				current.answered = true;
			}
			else {
				// Another daemon uses the address now, so the probed one no longer runs.
				this.probe = null;
				this.actions.declareDead(now, current.name);
			}
		}
		Relayed relay = this.relayed.remove(number);
		if (relay != null) {
			this.actions.replyIndirectly(relay.origin, relay.number, sender);
		}
	}

	void relay(long now, HostAddress origin, long number, HostAddress target, List<Member> updates) {
		if (this.relayed.size() >= MAXIMUM_RELAYED) {
			this.relayed.values().removeIf((relay) -> relay.expires <= now);
		}
		if (this.relayed.size() < MAXIMUM_RELAYED) {
			long ping = newNumber();
			this.relayed.put(ping, new Relayed(origin, number, now + this.settings.probeInterval()));
			this.actions.ping(ping, target, (updates.isEmpty()) ? null : updates.getFirst().name());
		}
	}

	void relayAnswered(long number, boolean reached) {
		Probe current = this.probe;
		if (current != null && current.number == number) {
			current.relayAnswered = true;
			current.answered |= reached;
			if (reached) {
				this.accusations.remove(current.name);
			}
		}
	}

	/**
	 * Discards a local suspicion, for which the fault may have been this daemon's own.
	 * @param name the name of a member from which a message arrived
	 */
	void heard(String name) {
		Accusation accusation = this.accusations.get(name);
		if (accusation != null && accusation.silent) {
			this.accusations.remove(name);
		}
	}

	private void begin(long now) {
		this.probe = null;
		MemberTable.Entry entry = this.table.randomLive(this.random);
		if (entry != null) {
			Probe next = new Probe(newNumber(), entry.member().name(), entry.member().address(), now);
			this.probe = next;
			this.actions.ping(next.number, next.address, next.name);
		}
	}

	private void repeat(Probe current) {
		current.repeated = true;
		this.actions.ping(current.number, current.address, current.name);
		for (MemberTable.Entry relay : this.table.randomLive(this.random, this.settings.relayCount(), current.name)) {
			this.actions.pingIndirectly(relay.member().address(), current.number, current.address, current.name);
		}
	}

	private void conclude(long now, Probe failed) {
		MemberTable.Entry entry = this.table.get(failed.name);
		if (now < this.quietUntil || entry == null || entry.isDead()) {
			return;
		}
		Accusation earlier = this.accusations.get(failed.name);
		if (earlier != null && (!earlier.silent || !failed.relayAnswered)) {
			return;
		}
		boolean silent = !failed.relayAnswered;
		long timeout = (silent) ? this.settings.isolationTimeout() : this.settings.suspicionTimeout();
		this.accusations.put(failed.name, new Accusation(entry.member(), now + timeout, silent));
		if (!silent) {
			this.actions.suspect(now, failed.name);
		}
	}

	private void judge(long now) {
		List<String> ended = new ArrayList<>();
		int pings = 0;
		for (Map.Entry<String, Accusation> pair : this.accusations.entrySet()) {
			String name = pair.getKey();
			Accusation accusation = pair.getValue();
			MemberTable.Entry entry = this.table.get(name);
			if (entry == null || entry.isDead() || !accusation.concerns(entry.member())) {
				ended.add(name);
			}
			else if (now >= accusation.deadline) {
				ended.add(name);
				if (accusation.silent) {
					this.actions.setUnreachable(now, name);
				}
				else {
					this.actions.declareDead(now, name);
				}
			}
			else if (pings++ < REPEATED_PINGS) {
				this.actions.ping(newNumber(), entry.member().address(), name);
			}
		}
		ended.forEach(this.accusations::remove);
	}

	/** Operations of the member list that the detector calls. */
	interface Actions {

		void ping(long number, HostAddress target, @Nullable String name);

		void pingIndirectly(HostAddress relay, long number, HostAddress target, String name);

		void replyIndirectly(HostAddress origin, long number, Member subject);

		void suspect(long now, String name);

		void setUnreachable(long now, String name);

		void declareDead(long now, String name);

	}

	/** Probe of the current interval. */
	private static final class Probe {

		private final long number;

		private final String name;

		private final HostAddress address;

		private final long sentAt;

		private boolean repeated;

		private boolean answered;

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
	 * @param silent whether other daemons are not notified
	 */
	private record Accusation(Member member, long deadline, boolean silent) {

		boolean concerns(Member current) {
			return this.member.id().equals(current.id()) && this.member.revision() == current.revision();
		}
	}

	/**
	 * Ping that was sent on behalf of another daemon.
	 *
	 * @param origin the address of the other daemon
	 * @param number the number of the indirect ping
	 * @param expires the monotonic time in milliseconds after which the other daemon no
	 * longer waits for a reply
	 */
	private record Relayed(HostAddress origin, long number, long expires) {
	}

}
