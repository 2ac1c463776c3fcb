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
	private static final long SPACING = 200;

	private final ManifestFollowerSettings settings;

	private final RandomGenerator random;

	private boolean active;

	private boolean waiting;

	private boolean failing;

	private String knownHash = "";

	private long due;

	private long lastCall = -SPACING;

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
		this.waiting = false;
		this.knownHash = "";
		this.due = now;
	}

	long nextTick() {
		return (this.active) ? this.due : Long.MAX_VALUE;
	}

	/**
	 * Makes the next call if it is due.
	 * @param now the current monotonic time in milliseconds
	 * @param effects the list to which the call is added
	 * @return whether the pending call timed out
	 */
	boolean tick(long now, List<ManifestFollowerEffect> effects) {
		if (!this.active || now < this.due) {
			return false;
		}
		if (this.waiting) {
			failed(now);
			return true;
		}
		this.waiting = true;
		this.lastCall = now;
		if (this.knownHash.isEmpty()) {
			this.due = now + this.settings.storeTimeout();
			effects.add(new ManifestFollowerEffect.ReadIndex());
		}
		else {
			this.due = now + this.settings.watchWait() + this.settings.storeTimeout();
			effects.add(new ManifestFollowerEffect.WatchIndex(this.knownHash, this.settings.watchWait()));
		}
		return false;
	}

	void answered(long now, String hash) {
		this.knownHash = hash;
		unchanged(now);
	}

	void unchanged(long now) {
		this.failing = false;
		this.waiting = false;
		this.due = Math.max(now, this.lastCall + SPACING);
	}

	void failed(long now) {
		this.failing = true;
		this.waiting = false;
		this.knownHash = "";
		long retry = this.settings.storeRetryDelay();
		this.due = now + retry / 2 + this.random.nextLong(retry);
	}

}
