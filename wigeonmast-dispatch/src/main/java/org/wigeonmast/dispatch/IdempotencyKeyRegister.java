package org.wigeonmast.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage.KeyOutcome;
import org.wigeonmast.dispatch.DispatchMessage.KeyQuery;
import org.wigeonmast.dispatch.DispatchMessage.KeyRegistration;
import org.wigeonmast.dispatch.DispatchMessage.KeyVerdict;
import org.wigeonmast.dispatch.DispatchMessage.KeyVerdict.Verdict;
import org.wigeonmast.dispatch.DispatchMessage.RegisterTransfer;
import org.wigeonmast.dispatch.DispatchMessage.RegisteredKey;
import org.wigeonmast.dispatch.DispatchMessage.TenureReply;
import org.wigeonmast.dispatch.internal.EffectBuffer;
import org.wigeonmast.dispatch.internal.Tenure;

/**
 * Register of the idempotency keys that were admitted for one service in one region.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: a key is registered only
 * while this daemon has tenure, so no two daemons of a region register at the same time;
 * a possible duplicate gets {@link Verdict#FIRST} only if the register is complete since
 * before its key was created; a key is released only when the request that holds it ended
 * as not run. A false {@code FIRST} lets a request run twice, so the answer is
 * {@link Verdict#CANNOT_VOUCH} whenever the register is not certain.
 */
public final class IdempotencyKeyRegister implements Component<RegisterInput, DispatchEffect> {

	/**
	 * The maximum number of keys. When it is exceeded the oldest keys are dropped, and
	 * the register no longer vouches for keys of that age.
	 */
	public static final int MOST_KEYS = 100_000;

	/**
	 * Allowance in milliseconds for the skew of the clocks of the callers that create
	 * keys.
	 */
	public static final long CLOCK_ALLOWANCE = 5000;

	private static final int KEYS_IN_A_PART = 200;

	private static final long EXPIRY_INTERVAL = 1000;

	private final EffectBuffer effects = new EffectBuffer();

	private final LinkedHashMap<String, Entry> keys = new LinkedHashMap<>();

	private final ServiceName service;

	private final Tenure tenure;

	private final List<RegisteredKey> transferred = new ArrayList<>();

	private long keyLifetime;

	private long nextExpiry = NO_TIMER;

	private boolean incomplete;

	private @Nullable DaemonId successor;

	private @Nullable PendingTransfer pendingTransfer;

	/**
	 * Creates an empty register, which cannot vouch for keys created earlier.
	 * @param service the service
	 * @param self this daemon
	 * @param keyLifetime the time in milliseconds after which callers no longer reuse a
	 * key
	 */
	public IdempotencyKeyRegister(ServiceName service, DaemonId self, long keyLifetime) {
		this.service = service;
		this.keyLifetime = keyLifetime;
		this.tenure = new Tenure(service, self);
	}

	@Override
	public List<DispatchEffect> handle(long now, RegisterInput input) {
		switch (input) {
			case RegisterInput.Received received -> received(now, received.sender(), received.message());
			case RegisterInput.DaemonsChanged changed -> this.tenure.setDaemons(changed.live(), changed.declared());
			case RegisterInput.LifetimeChanged changed -> lifetimeChanged(now, changed.keyLifetime());
			case RegisterInput.HandOver handOver -> handOver(now, handOver.successor());
		}
		return this.effects.drain();
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		this.tenure.tick(now, this.effects);
		if (now >= this.nextExpiry) {
			expire(now);
		}
		return this.effects.drain();
	}

	@Override
	public long nextTick() {
		return Math.min(this.tenure.nextTick(), this.nextExpiry);
	}

	/**
	 * Returns the number of keys.
	 * @return the number
	 */
	public int size() {
		return this.keys.size();
	}

	/**
	 * Returns whether this daemon may register keys.
	 * @param now the current monotonic time in milliseconds
	 * @return whether its tenure is in force and it has not handed the register over
	 */
	public boolean keeps(long now) {
		return this.successor == null && this.tenure.inForce(now);
	}

	/**
	 * Returns whether this daemon has handed the register over, after which it registers
	 * no more keys.
	 * @return whether it was handed over
	 */
	public boolean handedOver() {
		return this.successor != null;
	}

	private void received(long now, DaemonId sender, DispatchMessage message) {
		switch (message) {
			case KeyRegistration registration -> {
				Holder holder = new Holder(sender, registration.query());
				boolean declaredFirst = registration.attempt() == 1;
				answer(sender, registration.query(),
						admit(now, registration.key(), holder, declaredFirst ? 0 : registration.age()));
			}
			case KeyQuery query ->
				answer(sender, query.query(), admit(now, query.key(), new Holder(sender, query.query()), query.age()));
			case KeyOutcome outcome -> ended(sender, outcome);
			case TenureReply reply -> this.tenure.replied(now, sender, reply);
			case RegisterTransfer transfer -> transferReceived(now, sender, transfer);
			case DispatchMessage.TransferReceived _ -> transferConfirmed(now, sender);
			case DispatchMessage.TransferCompleted _ -> transferCompleted(sender);
			default -> {
				// Messages about slots and to entry daemons are handled by other
				// components.
			}
		}
	}

	private void answer(DaemonId sender, long query, Answer answer) {
		this.effects.send(sender, new KeyVerdict(query, answer.verdict, answer.outcome));
	}

	private Answer admit(long now, String key, Holder holder, long age) {
		Entry entry = this.keys.get(key);
		if (entry != null) {
			if (!entry.holder.equals(holder)) {
				return new Answer(Verdict.SEEN, entry.outcome);
			}
			// The message was delivered twice, or sent again because the tenure was not
			// yet
			// in force.
			entry.admitted = entry.admitted || vouches(now, age);
			return new Answer(entry.admitted ? Verdict.FIRST : Verdict.CANNOT_VOUCH, null);
		}
		if (this.successor != null) {
			return new Answer(Verdict.CANNOT_VOUCH, null);
		}
		this.tenure.want(now, this.effects);
		boolean admitted = vouches(now, age);
		this.keys.put(key, new Entry(holder, now, admitted));
		this.nextExpiry = Math.min(this.nextExpiry, now + EXPIRY_INTERVAL);
		dropOldest();
		return new Answer(admitted ? Verdict.FIRST : Verdict.CANNOT_VOUCH, null);
	}

	// An age of 0 means a declared first attempt, whose key cannot have been registered
	// earlier.
	private boolean vouches(long now, long age) {
		return this.successor == null && this.tenure.inForce(now) && age <= this.keyLifetime + CLOCK_ALLOWANCE
				&& (age == 0 || this.tenure.keptSince() <= now - age);
	}

	private void dropOldest() {
		if (this.keys.size() > MOST_KEYS) {
			Map.Entry<String, Entry> oldest = this.keys.pollFirstEntry();
			this.tenure.keptOnlySince(oldest.getValue().registeredAt + 1);
			if (!this.incomplete) {
				this.incomplete = true;
				this.effects.log(DispatchEvent.REGISTER_INCOMPLETE, this.service, MOST_KEYS);
			}
		}
	}

	private void ended(DaemonId sender, KeyOutcome outcome) {
		Entry entry = this.keys.get(outcome.key());
		if (entry == null || !entry.holder.equals(new Holder(sender, outcome.query()))) {
			return;
		}
		if (outcome.outcome().execution() == KeyResult.Execution.NOT_RUN) {
			this.keys.remove(outcome.key());
		}
		else {
			entry.outcome = outcome.outcome();
		}
	}

	private void lifetimeChanged(long now, long lifetime) {
		if (lifetime > this.keyLifetime) {
			// Keys older than the previous, shorter lifetime were dropped.
			this.tenure.keptOnlySince(now - this.keyLifetime);
		}
		this.keyLifetime = lifetime;
	}

	private void expire(long now) {
		long oldest = now - this.keyLifetime - CLOCK_ALLOWANCE;
		Iterator<Entry> entries = this.keys.values().iterator();
		while (entries.hasNext() && entries.next().registeredAt < oldest) {
			entries.remove();
		}
		this.incomplete = this.incomplete && this.keys.size() >= MOST_KEYS;
		this.nextExpiry = this.keys.isEmpty() ? NO_TIMER : now + EXPIRY_INTERVAL;
	}

	private void handOver(long now, DaemonId next) {
		if (!this.tenure.inForce(now) || this.successor != null) {
			this.successor = next;
			this.tenure.giveUp();
			return;
		}
		this.successor = next;
		List<RegisteredKey> all = new ArrayList<>();
		this.keys.forEach((key, entry) -> all.add(new RegisteredKey(key, now - entry.registeredAt, entry.holder.daemon,
				entry.holder.query, entry.outcome)));
		int parts = Math.max(1, (all.size() + KEYS_IN_A_PART - 1) / KEYS_IN_A_PART);
		long kept = now - this.tenure.keptSince();
		for (int part = 1; part <= parts; part++) {
			int start = (part - 1) * KEYS_IN_A_PART;
			List<RegisteredKey> slice = all.subList(start, Math.min(all.size(), start + KEYS_IN_A_PART));
			this.effects.send(next, new RegisterTransfer(this.service, slice, kept, part, parts));
		}
	}

	private void transferReceived(long now, DaemonId sender, RegisterTransfer transfer) {
		if (transfer.part() == 1) {
			this.transferred.clear();
			this.pendingTransfer = new PendingTransfer(sender, 0, now - transfer.keptSince(), 0);
		}
		PendingTransfer pending = this.pendingTransfer;
		if (pending == null || !pending.sender.equals(sender) || transfer.part() != pending.parts + 1) {
			this.pendingTransfer = null;
			return;
		}
		this.transferred.addAll(transfer.keys());
		this.pendingTransfer = new PendingTransfer(sender, transfer.part(), pending.keptSince, now);
		if (transfer.part() == transfer.parts()) {
			merge(now);
			this.effects.send(sender, new DispatchMessage.TransferReceived(this.service));
		}
	}

	private void merge(long now) {
		// The transferred keys are older than those that this daemon registered
		// meanwhile,
		// and the map is ordered by age.
		LinkedHashMap<String, Entry> own = new LinkedHashMap<>(this.keys);
		this.keys.clear();
		for (RegisteredKey key : this.transferred) {
			Entry entry = new Entry(new Holder(key.daemon(), key.query()), now - key.age(), true);
			entry.outcome = key.outcome();
			this.keys.put(key.key(), entry);
		}
		own.forEach(this.keys::putIfAbsent);
		this.transferred.clear();
		this.nextExpiry = Math.min(this.nextExpiry, now + EXPIRY_INTERVAL);
	}

	private void transferConfirmed(long now, DaemonId sender) {
		if (sender.equals(this.successor) && this.tenure.inForce(now)) {
			this.tenure.release(this.effects);
			this.effects.send(sender, new DispatchMessage.TransferCompleted(this.service));
			this.tenure.giveUp();
		}
	}

	private void transferCompleted(DaemonId sender) {
		PendingTransfer pending = this.pendingTransfer;
		if (pending != null && pending.sender.equals(sender)) {
			this.tenure.continues(sender, pending.keptSince, pending.receivedAt);
			this.pendingTransfer = null;
		}
	}

	private record Holder(DaemonId daemon, long query) {
	}

	private record Answer(Verdict verdict, @Nullable KeyResult outcome) {
	}

	private record PendingTransfer(DaemonId sender, int parts, long keptSince, long receivedAt) {
	}

	private static final class Entry {

		private final Holder holder;

		private final long registeredAt;

		private boolean admitted;

		private @Nullable KeyResult outcome;

		private Entry(Holder holder, long registeredAt, boolean admitted) {
			this.holder = holder;
			this.registeredAt = registeredAt;
			this.admitted = admitted;
		}

	}

}
