package org.wigeonmast.manifest.internal;

import java.util.List;

import org.wigeonmast.core.CallerId;

/**
 * An open-addressing hash table of the rate limits of callers by identifier, which refers
 * to the packed limits of the parts.
 * <p>
 * Thread safety: immutable once built. Invariant: a used slot holds the index of the part
 * in its upper half and the index of the limit in that part, plus one, in its lower half;
 * an empty slot is 0.
 */
public final class CallerTable {

	/**
	 * Maximum number of limits in one part; a document of 1 MB has at most half as many.
	 */
	static final int MAX_LIMITS_PER_PART = 65_535;

	private static final int INDEX_BITS = 16;

	private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

	private final List<PackedCallerLimits> parts;

	private final int bits;

	private final int[] table;

	/**
	 * Creates an empty table.
	 * @param parts the limits by part, at most {@link #MAX_LIMITS_PER_PART} in each part
	 */
	CallerTable(List<PackedCallerLimits> parts) {
		this.parts = List.copyOf(parts);
		this.bits = TextHash.bits(this.parts.stream().mapToInt(PackedCallerLimits::count).sum());
		this.table = new int[1 << this.bits];
	}

	/**
	 * Inserts a limit.
	 * @param part the index of the part
	 * @param index the index of the limit in the part
	 * @return the index of the part that already limits the same caller, or -1 for none
	 */
	int insert(int part, int index) {
		PackedCallerLimits limits = this.parts.get(part);
		String identifier = limits.identifier(index);
		int slot = TextHash.slot(limits.hash(index), this.bits);
		for (; this.table[slot] != 0; slot = nextSlot(slot)) {
			if (matches(this.table[slot], identifier)) {
				return this.table[slot] >>> INDEX_BITS;
			}
		}
		this.table[slot] = part << INDEX_BITS | (index + 1);
		return -1;
	}

	/**
	 * Returns the limit of a caller.
	 * @param caller the caller
	 * @return the requests per second, or 0 for no limit
	 */
	public long limit(CallerId caller) {
		String identifier = caller.value();
		int slot = TextHash.slot(TextHash.of(identifier), this.bits);
		for (; this.table[slot] != 0; slot = nextSlot(slot)) {
			if (matches(this.table[slot], identifier)) {
				return this.parts.get(this.table[slot] >>> INDEX_BITS).rate((this.table[slot] & INDEX_MASK) - 1);
			}
		}
		return 0;
	}

	private boolean matches(int entry, String identifier) {
		return this.parts.get(entry >>> INDEX_BITS).matches((entry & INDEX_MASK) - 1, identifier);
	}

	private int nextSlot(int slot) {
		return (slot + 1) & (this.table.length - 1);
	}

}
