package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Digest of all records that are not dead: one hash for each bucket of names. Two daemons
 * compare their digests to find the records that differ.
 * <p>
 * Thread safety: none. Invariant: two digests with equal buckets cover the same names,
 * incarnations and revisions, apart from collisions of the 64-bit hashes.
 */
final class MemberDigest {

	/**
	 * Number of buckets. A digest takes 512 bytes in a request, and a bucket holds about
	 * 50 records in the largest fleet.
	 */
	static final int BUCKET_COUNT = 64;

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private static final int SHIFT = 32;

	private final long[] buckets = new long[BUCKET_COUNT];

	/**
	 * Adds a record, or removes it if it was added before.
	 * @param member the record
	 */
	void toggle(Member member) {
		this.buckets[bucket(member.name())] ^= hash(member);
	}

	List<Long> values() {
		List<Long> values = new ArrayList<>(BUCKET_COUNT);
		for (long value : this.buckets) {
			values.add(value);
		}
		return values;
	}

	/**
	 * Returns whether the bucket of a name differs from that of another digest.
	 * @param name the name
	 * @param other the buckets of the other digest
	 * @return whether they differ; also {@code true} if the other digest has another
	 * number of buckets
	 */
	boolean hasDifferentBucket(String name, List<Long> other) {
		int bucket = bucket(name);
		return other.size() != BUCKET_COUNT || other.get(bucket) != this.buckets[bucket];
	}

	private static int bucket(String name) {
		return Math.floorMod((int) (mix(name.hashCode()) >>> SHIFT), BUCKET_COUNT);
	}

	private static long hash(Member member) {
		return mix(mix(mix(member.name().hashCode()) + member.id().incarnation()) + member.revision());
	}

	private static long mix(long value) {
		long result = (value ^ (value >>> SHIFT)) * MULTIPLIER;
		result = (result ^ (result >>> SHIFT)) * MULTIPLIER;
		return result ^ (result >>> SHIFT);
	}

}
