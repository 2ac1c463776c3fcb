package org.wigeonmast.manifest.follow;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The schedule of one daemon's index calls to the store: a read of the index, then
 * consecutive watches.
 * <p>
 * Thread safety: none. Invariants: at most one index call is pending; a call without a
 * reply is abandoned after its timeout, so a dead connection delays the detection of a
 * change by no more than the duration of one watch.
 */
final class StoreReader {

	/** Minimum time between calls, in case the store returns from watches immediately. */
	private static final long MIN_CALL_INTERVAL_MS = 200;

	private final ManifestFollowerSettings settings;

	private final RandomGenerator random;

	private boolean active;

	private boolean callPending;

	private boolean failing;

	private String knownHash = "";

	private long nextTickAt;

	private long lastCallAt = -MIN_CALL_INTERVAL_MS;

	StoreReader(ManifestFollowerSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	boolean isActive() {
		return this.active;
	}

	boolean isFailing() {
		return this.active && this.failing;
	}

	void setActive(long now, boolean value) {
		if (value != this.active) {
			this.active = value;
			restart(now);
		}
	}

	void restart(long now) {
		this.callPending = false;
		this.knownHash = "";
		this.nextTickAt = now;
	}

	long nextTick() {
		return (this.active) ? this.nextTickAt : Long.MAX_VALUE;
	}

	/**
	 * Makes the next call if it is due.
	 * @param now the current monotonic time in milliseconds
	 * @param effects the list to which the call is added
	 * @return whether the pending call timed out
	 */
	boolean tick(long now, List<ManifestFollowerEffect> effects) {
		if (!this.active || now < this.nextTickAt) {
			return false;
		}
		if (this.callPending) {
			onFailure(now);
			return true;
		}
		this.callPending = true;
		this.lastCallAt = now;
		if (this.knownHash.isEmpty()) {
			this.nextTickAt = now + this.settings.storeTimeout();
			effects.add(new ManifestFollowerEffect.ReadIndex());
		}
		else {
			this.nextTickAt = now + this.settings.watchWait() + this.settings.storeTimeout();
			effects.add(new ManifestFollowerEffect.WatchIndex(this.knownHash, this.settings.watchWait()));
		}
		return false;
	}

	void onIndexRead(long now, String hash) {
		this.knownHash = hash;
		onIndexUnchanged(now);
	}

	void onIndexUnchanged(long now) {
		this.failing = false;
		this.callPending = false;
		this.nextTickAt = Math.max(now, this.lastCallAt + MIN_CALL_INTERVAL_MS);
	}

	void onFailure(long now) {
		this.failing = true;
		this.callPending = false;
		this.knownHash = "";
		long retryDelay = this.settings.storeRetryDelay();
		this.nextTickAt = now + retryDelay / 2 + this.random.nextLong(retryDelay);
	}

}
