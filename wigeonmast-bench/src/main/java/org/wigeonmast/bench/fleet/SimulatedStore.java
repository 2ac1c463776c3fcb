package org.wigeonmast.bench.fleet;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.manifest.follow.ManifestFollowerInput;
import org.wigeonmast.testing.EventQueue;

/**
 * The configuration store in virtual time: reads, and watches that end with a change.
 * <p>
 * Thread safety: none. Invariant: while it is away, or cut off from a caller, calls get
 * no answer.
 */
final class SimulatedStore {

	private static final long SERVICE_TIME = 3000;

	private final EventQueue queue;

	private final SyntheticManifests manifests;

	private final List<Watch> watches = new ArrayList<>();

	private String served;

	private boolean away;

	private long calls;

	SimulatedStore(EventQueue queue, SyntheticManifests manifests) {
		this.queue = queue;
		this.manifests = manifests;
		this.served = manifests.indexHash();
	}

	void publish() {
		this.served = this.manifests.indexHash();
		this.watches.forEach((watch) -> watch.caller.answer(index()));
		this.watches.clear();
	}

	/** Publishes the newest version to one watch only; the others stay silent. */
	void publishToOne() {
		this.served = this.manifests.indexHash();
		if (!this.watches.isEmpty()) {
			this.watches.getFirst().caller.answer(index());
		}
		this.watches.clear();
	}

	/**
	 * Makes the store answer nobody, or answer again.
	 * @param value whether it is away
	 */
	void setAway(boolean value) {
		this.away = value;
		this.watches.clear();
	}

	long calls() {
		return this.calls;
	}

	void readIndex(Caller caller) {
		this.calls++;
		arrive(caller, () -> caller.answer(index()));
	}

	void watchIndex(Caller caller, String knownHash, long waitTime) {
		this.calls++;
		arrive(caller, () -> {
			if (!this.served.equals(knownHash)) {
				caller.answer(index());
				return;
			}
			Watch watch = new Watch(caller);
			this.watches.add(watch);
			this.queue.schedule(waitTime * EventQueue.MICROSECONDS_PER_MILLISECOND, () -> {
				if (this.watches.remove(watch)) {
					caller.answer(new ManifestFollowerInput.StoreIndexUnchanged());
				}
			});
		});
	}

	void readPart(Caller caller, String hash) {
		this.calls++;
		arrive(caller,
				() -> caller.answer(new ManifestFollowerInput.StorePartReceived(hash, this.manifests.bytes(hash))));
	}

	private ManifestFollowerInput index() {
		return new ManifestFollowerInput.StoreIndexReceived(this.manifests.bytes(this.served));
	}

	private void arrive(Caller caller, Runnable action) {
		this.queue.schedule(caller.delay() + SERVICE_TIME, () -> {
			if (!this.away && caller.isConnected()) {
				action.run();
			}
		});
	}

	/** A daemon that called the store. */
	interface Caller {

		long delay();

		boolean isConnected();

		void answer(ManifestFollowerInput input);

	}

	private static final class Watch {

		private final Caller caller;

		private Watch(Caller caller) {
			this.caller = caller;
		}

	}

}
