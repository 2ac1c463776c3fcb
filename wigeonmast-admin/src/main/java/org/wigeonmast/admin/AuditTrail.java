package org.wigeonmast.admin;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.MillisecondClock;

/**
 * The latest audit entries of a daemon in a ring buffer.
 * <p>
 * Thread safety: usable from any thread; each call holds a lock for a short time only.
 * Invariant: at most {@code capacity} entries are held, and the oldest go first.
 */
public final class AuditTrail implements AuditSource {

	private final MillisecondClock clock;

	private final AuditRecord[] ring;

	private long newest;

	/**
	 * Creates an empty trail.
	 * @param clock the clock for the time of day
	 * @param capacity the greatest number of entries, at least 1
	 */
	public AuditTrail(MillisecondClock clock, int capacity) {
		this.clock = clock;
		this.ring = new AuditRecord[capacity];
	}

	/**
	 * Adds an entry.
	 * @param entry the entry
	 * @return the entry with its number
	 */
	public synchronized AuditRecord add(AuditEntry entry) {
		AuditRecord added = new AuditRecord(++this.newest, this.clock.timeOfDay(), entry);
		this.ring[place(this.newest)] = added;
		return added;
	}

	/**
	 * Returns how many entries were added since the start.
	 * @return the number of the newest entry, 0 for none
	 */
	public synchronized long newest() {
		return this.newest;
	}

	@Override
	public synchronized List<AuditRecord> since(long number, int limit) {
		List<AuditRecord> records = new ArrayList<>();
		long oldest = Math.max(1, this.newest - this.ring.length + 1);
		// A number beyond the newest entry may be Long.MAX_VALUE, to which adding 1
		// overflows.
		long first = (number < this.newest) ? Math.max(oldest, number + 1) : this.newest + 1;
		for (long i = first; i <= this.newest && records.size() < limit; i++) {
			records.add(this.ring[place(i)]);
		}
		return records;
	}

	private int place(long number) {
		return (int) (number % this.ring.length);
	}

}
