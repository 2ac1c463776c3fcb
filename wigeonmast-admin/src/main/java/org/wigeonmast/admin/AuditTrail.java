package org.wigeonmast.admin;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.MillisecondClock;

/**
 * The latest audit entries of a daemon in a ring buffer.
 * <p>
 * Thread safety: usable from any thread; each call holds a lock for a short time only.
 * Invariant: at most {@code capacity} entries are held, and the oldest are overwritten
 * first.
 */
public final class AuditTrail implements AuditSource {

	private final MillisecondClock clock;

	private final AuditRecord[] ring;

	private long newestNumber;

	/**
	 * Creates an empty trail.
	 * @param clock the clock for the time of day
	 * @param capacity the maximum number of entries, at least 1
	 */
	public AuditTrail(MillisecondClock clock, int capacity) {
		this.clock = clock;
		this.ring = new AuditRecord[capacity];
	}

	/**
	 * Adds an entry.
	 * @param entry the entry
	 * @return the entry with its number and time of day
	 */
	public synchronized AuditRecord add(AuditEntry entry) {
		AuditRecord auditRecord = new AuditRecord(++this.newestNumber, this.clock.timeOfDay(), entry);
		this.ring[ringIndex(this.newestNumber)] = auditRecord;
		return auditRecord;
	}

	/**
	 * Returns the number of the newest entry, which is also the count of entries added
	 * since the start.
	 * @return the number, 0 if no entry was added
	 */
	public synchronized long newestNumber() {
		return this.newestNumber;
	}

	@Override
	public synchronized List<AuditRecord> recordsSince(long lastNumber, int limit) {
		List<AuditRecord> records = new ArrayList<>();
		long oldest = Math.max(1, this.newestNumber - this.ring.length + 1);
		// lastNumber comes from a request and may be Long.MAX_VALUE, to which 1 cannot be
		// added.
		long first = (lastNumber < this.newestNumber) ? Math.max(oldest, lastNumber + 1) : this.newestNumber + 1;
		for (long i = first; i <= this.newestNumber && records.size() < limit; i++) {
			records.add(this.ring[ringIndex(i)]);
		}
		return records;
	}

	private int ringIndex(long number) {
		return (int) (number % this.ring.length);
	}

}
