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
	public static final int MAX_KEYS = 100_000;

	/**
	 * Allowance in milliseconds for the skew of the clocks of the callers that create
	 * keys.
	 */
	public static final long CLOCK_SKEW_ALLOWANCE_MS = 5000;

	private static final int KEYS_PER_PART = 200;

	private static final long EXPIRY_INTERVAL_MS = 1000;

	private final EffectBuffer effects = new EffectBuffer();

	private final LinkedHashMap<String, Entry> keys = new LinkedHashMap<>();

	private final ServiceName service;

	private final Tenure tenure;

	private final List<RegisteredKey> transferredKeys = new ArrayList<>();

	private long keyLifetimeMs;

	private long nextExpiryMs = NO_TIMER;

	/**
	 * Whether the loss of keys was logged since the register was last below its maximum
	 * size.
	 */
	private boolean incomplete;

	private @Nullable DaemonId successor;

	private @Nullable PendingTransfer pendingTransfer;

	/**
	 * Creates an empty register, which cannot vouch for keys created earlier.
	 * @param service the service
	 * @param self this daemon
	 * @param keyLifetimeMs the time in milliseconds after which callers no longer reuse a
	 * key
	 */
	public IdempotencyKeyRegister(ServiceName service, DaemonId self, long keyLifetimeMs) {
		this.service = service;
		this.keyLifetimeMs = keyLifetimeMs;
		this.tenure = new Tenure(service, self);
	}

	@Override
	public List<DispatchEffect> handle(long now, RegisterInput input) {
		switch (input) {
			case RegisterInput.Received received -> handleMessage(now, received.sender(), received.message());
			case RegisterInput.DaemonsChanged changed -> this.tenure.setDaemons(changed.live(), changed.declared());
			case RegisterInput.LifetimeChanged changed -> onLifetimeChanged(now, changed.keyLifetime());
			case RegisterInput.HandOver handOver -> handOver(now, handOver.successor());
		}
		return this.effects.drain();
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		this.tenure.tick(now, this.effects);
		if (now >= this.nextExpiryMs) {
			removeExpired(now);
		}
		return this.effects.drain();
	}

	@Override
	public long nextTick() {
		return Math.min(this.tenure.nextTick(), this.nextExpiryMs);
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
	public boolean hasTenure(long now) {
		return this.successor == null && this.tenure.isInForce(now);
	}

	/**
	 * Returns whether this daemon has handed the register over, after which it registers
	 * no more keys.
	 * @return whether it was handed over
	 */
	public boolean isHandedOver() {
		return this.successor != null;
	}

	private void handleMessage(long now, DaemonId sender, DispatchMessage message) {
		switch (message) {
			case KeyRegistration registration -> {
				Holder holder = new Holder(sender, registration.query());
				boolean declaredFirst = registration.attempt() == 1;
				sendVerdict(sender, registration.query(),
						registerKey(now, registration.key(), holder, declaredFirst ? 0 : registration.age()));
			}
			case KeyQuery query -> sendVerdict(sender, query.query(),
					registerKey(now, query.key(), new Holder(sender, query.query()), query.age()));
			case KeyOutcome outcome -> recordOutcome(sender, outcome);
			case TenureReply reply -> this.tenure.handleReply(now, sender, reply);
			case RegisterTransfer transfer -> onTransferPart(now, sender, transfer);
			case DispatchMessage.TransferReceived _ -> onTransferReceived(now, sender);
			case DispatchMessage.TransferCompleted _ -> onTransferCompleted(sender);
			default -> {
				// Messages about slots and to entry daemons are handled by other
				// components.
			}
		}
	}

	private void sendVerdict(DaemonId sender, long query, Answer answer) {
		this.effects.send(sender, new KeyVerdict(query, answer.verdict, answer.outcome));
	}

	private Answer registerKey(long now, String key, Holder holder, long ageMs) {
		Entry entry = this.keys.get(key);
		if (entry != null) {
			if (!entry.holder.equals(holder)) {
				return new Answer(Verdict.SEEN, entry.outcome);
			}
			// The message was delivered twice, or sent again because the tenure was not
			// yet in force.
			entry.admitted = entry.admitted || canVouch(now, ageMs);
			return new Answer(entry.admitted ? Verdict.FIRST : Verdict.CANNOT_VOUCH, null);
		}
		if (this.successor != null) {
			return new Answer(Verdict.CANNOT_VOUCH, null);
		}
		this.tenure.startRequesting(now, this.effects);
		boolean admitted = canVouch(now, ageMs);
		this.keys.put(key, new Entry(holder, now, admitted));
		this.nextExpiryMs = Math.min(this.nextExpiryMs, now + EXPIRY_INTERVAL_MS);
		dropOldestIfFull();
		return new Answer(admitted ? Verdict.FIRST : Verdict.CANNOT_VOUCH, null);
	}

	// An age of 0 means a declared first attempt, whose key cannot have been registered
	// earlier.
	private boolean canVouch(long now, long ageMs) {
		return this.successor == null && this.tenure.isInForce(now)
				&& ageMs <= this.keyLifetimeMs + CLOCK_SKEW_ALLOWANCE_MS
				&& (ageMs == 0 || this.tenure.keptSinceMs() <= now - ageMs);
	}

	private void dropOldestIfFull() {
		if (this.keys.size() > MAX_KEYS) {
			Map.Entry<String, Entry> oldest = this.keys.pollFirstEntry();
			this.tenure.limitKeptSince(oldest.getValue().registeredAtMs + 1);
			if (!this.incomplete) {
				this.incomplete = true;
				this.effects.log(DispatchEvent.REGISTER_INCOMPLETE, this.service, MAX_KEYS);
			}
		}
	}

	private void recordOutcome(DaemonId sender, KeyOutcome outcome) {
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

	private void onLifetimeChanged(long now, long newLifetimeMs) {
		if (newLifetimeMs > this.keyLifetimeMs) {
			// Keys older than the previous, shorter lifetime were dropped.
			this.tenure.limitKeptSince(now - this.keyLifetimeMs);
		}
		this.keyLifetimeMs = newLifetimeMs;
	}

	private void removeExpired(long now) {
		long oldestMs = now - this.keyLifetimeMs - CLOCK_SKEW_ALLOWANCE_MS;
		Iterator<Entry> entries = this.keys.values().iterator();
		while (entries.hasNext() && entries.next().registeredAtMs < oldestMs) {
			entries.remove();
		}
		this.incomplete = this.incomplete && this.keys.size() >= MAX_KEYS;
		this.nextExpiryMs = this.keys.isEmpty() ? NO_TIMER : now + EXPIRY_INTERVAL_MS;
	}

	private void handOver(long now, DaemonId nextOwner) {
		if (!this.tenure.isInForce(now) || this.successor != null) {
			this.successor = nextOwner;
			this.tenure.relinquish();
			return;
		}
		this.successor = nextOwner;
		List<RegisteredKey> allKeys = new ArrayList<>();
		this.keys.forEach((key, entry) -> allKeys.add(new RegisteredKey(key, now - entry.registeredAtMs,
				entry.holder.daemon, entry.holder.query, entry.outcome)));
		int parts = Math.max(1, (allKeys.size() + KEYS_PER_PART - 1) / KEYS_PER_PART);
		long keptForMs = now - this.tenure.keptSinceMs();
		for (int part = 1; part <= parts; part++) {
			int start = (part - 1) * KEYS_PER_PART;
			List<RegisteredKey> slice = allKeys.subList(start, Math.min(allKeys.size(), start + KEYS_PER_PART));
			this.effects.send(nextOwner, new RegisterTransfer(this.service, slice, keptForMs, part, parts));
		}
	}

	private void onTransferPart(long now, DaemonId sender, RegisterTransfer transfer) {
		if (transfer.part() == 1) {
			this.transferredKeys.clear();
			this.pendingTransfer = new PendingTransfer(sender, 0, now - transfer.keptSince(), 0);
		}
		PendingTransfer pending = this.pendingTransfer;
		if (pending == null || !pending.sender.equals(sender) || transfer.part() != pending.partsReceived + 1) {
			this.pendingTransfer = null;
			return;
		}
		this.transferredKeys.addAll(transfer.keys());
		this.pendingTransfer = new PendingTransfer(sender, transfer.part(), pending.keptSinceMs, now);
		if (transfer.part() == transfer.parts()) {
			mergeTransferredKeys(now);
			this.effects.send(sender, new DispatchMessage.TransferReceived(this.service));
		}
	}

	private void mergeTransferredKeys(long now) {
		// The transferred keys are older than those that this daemon registered
		// meanwhile, and the map is ordered by age.
		LinkedHashMap<String, Entry> ownKeys = new LinkedHashMap<>(this.keys);
		this.keys.clear();
		for (RegisteredKey key : this.transferredKeys) {
			Entry entry = new Entry(new Holder(key.daemon(), key.query()), now - key.age(), true);
			entry.outcome = key.outcome();
			this.keys.put(key.key(), entry);
		}
		ownKeys.forEach(this.keys::putIfAbsent);
		this.transferredKeys.clear();
		this.nextExpiryMs = Math.min(this.nextExpiryMs, now + EXPIRY_INTERVAL_MS);
	}

	private void onTransferReceived(long now, DaemonId sender) {
		if (sender.equals(this.successor) && this.tenure.isInForce(now)) {
			this.tenure.releasePromises(this.effects);
			this.effects.send(sender, new DispatchMessage.TransferCompleted(this.service));
			this.tenure.relinquish();
		}
	}

	private void onTransferCompleted(DaemonId sender) {
		PendingTransfer pending = this.pendingTransfer;
		if (pending != null && pending.sender.equals(sender)) {
			this.tenure.continueFrom(sender, pending.keptSinceMs, pending.receivedAtMs);
			this.pendingTransfer = null;
		}
	}

	private record Holder(DaemonId daemon, long query) {
	}

	private record Answer(Verdict verdict, @Nullable KeyResult outcome) {
	}

	private record PendingTransfer(DaemonId sender, int partsReceived, long keptSinceMs, long receivedAtMs) {
	}

	private static final class Entry {

		private final Holder holder;

		private final long registeredAtMs;

		private boolean admitted;

		private @Nullable KeyResult outcome;

		private Entry(Holder holder, long registeredAtMs, boolean admitted) {
			this.holder = holder;
			this.registeredAtMs = registeredAtMs;
			this.admitted = admitted;
		}

	}

}
