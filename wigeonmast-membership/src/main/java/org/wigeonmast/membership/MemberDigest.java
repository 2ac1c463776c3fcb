package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Hashes over all records that are not dead, in buckets by name, by which two daemons
 * find out which records differ.
 * <p>
 * Thread safety: none. Invariant: two digests with equal buckets stand for the same
 * names, incarnations and revisions, apart from collisions of 64 bits.
 */
final class MemberDigest {

	/**
	 * Number of buckets: 512 bytes in a request, and about 50 records in a bucket of the
	 * largest fleet.
	 */
	static final int BUCKETS = 64;

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private static final int SHIFT = 32;

	private final long[] buckets = new long[BUCKETS];

	/**
	 * Adds a record, or removes one that was added.
	 * @param member the record
	 */
	void toggle(Member member) {
		this.buckets[bucket(member.name())] ^= hash(member);
	}

	List<Long> values() {
		List<Long> values = new ArrayList<>(BUCKETS);
		for (long value : this.buckets) {
			values.add(value);
		}
		return values;
	}

	/**
	 * Returns whether the bucket of a name differs from the one of another digest.
	 * @param name the name
	 * @param other the buckets of the other digest
	 * @return whether it differs, also when the other digest has another form
	 */
	boolean differs(String name, List<Long> other) {
		int bucket = bucket(name);
		return other.size() != BUCKETS || other.get(bucket) != this.buckets[bucket];
	}

	private static int bucket(String name) {
		return Math.floorMod((int) (mix(name.hashCode()) >>> SHIFT), BUCKETS);
	}

	private static long hash(Member member) {
		return mix(mix(mix(member.name().hashCode()) + member.id().incarnation()) + member.revision());
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> SHIFT)) * MULTIPLIER;
		mixed = (mixed ^ (mixed >>> SHIFT)) * MULTIPLIER;
		return mixed ^ (mixed >>> SHIFT);
	}

}
