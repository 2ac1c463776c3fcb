package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Priority queue of changed records that are to be gossiped, with the least often
 * transmitted records first.
 * <p>
 * Thread safety: none. Invariants: there is at most one current record of each daemon. A
 * record is transmitted a number of times that grows with the logarithm of the fleet
 * size. Duplicates that other daemons send reduce that number, and a record is dropped
 * after a maximum age, by which time sync requests have disseminated it.
 */
final class UpdateQueue {

	/** Transmissions of a record for each doubling of the fleet size. */
	private static final int TRANSMISSIONS_PER_DOUBLING = 2;

	/** Age in milliseconds from which a record is no longer transmitted. */
	private static final long MAXIMUM_AGE_MS = 10_000;

	/** Number of transmissions that a received duplicate of a record counts for. */
	private static final int TRANSMISSIONS_PER_DUPLICATE = 1;

	/** Number of transmissions that are pushed without waiting for the next probe. */
	private static final int URGENT_TRANSMISSIONS = 3;

	private final Map<String, Item> currentItems = new HashMap<>();

	private final PriorityQueue<Item> queue = new PriorityQueue<>(
			Comparator.comparingInt((Item item) -> item.transmissions).thenComparingLong((item) -> -item.sequence));

	private long sequence;

	void add(long now, Member member) {
		enqueue(new Item(member, this.sequence++, now + MAXIMUM_AGE_MS, 0));
	}

	/**
	 * Counts a received duplicate of a queued record as a transmission.
	 * @param member the record
	 */
	void recordDuplicate(Member member) {
		Item item = this.currentItems.get(member.name());
		if (item != null && item.member.equals(member)) {
			enqueue(new Item(member, item.sequence, item.expiresAt, item.transmissions + TRANSMISSIONS_PER_DUPLICATE));
		}
	}

	private void enqueue(Item item) {
		this.currentItems.put(item.member.name(), item);
		this.queue.add(item);
	}

	/**
	 * Returns whether a record is to be pushed without waiting for the next probe.
	 * @param now the current monotonic time in milliseconds
	 * @return whether there is such a record
	 */
	boolean hasUrgent(long now) {
		Item first = peekCurrent(now);
		return first != null && first.transmissions < URGENT_TRANSMISSIONS;
	}

	/**
	 * Selects records for one message and counts one transmission of each.
	 * @param now the current monotonic time in milliseconds
	 * @param count the maximum number of records
	 * @param fleetSize the number of members
	 * @return the records
	 */
	List<Member> take(long now, int count, int fleetSize) {
		int limit = TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize + 1));
		List<Item> selection = new ArrayList<>(count);
		while (selection.size() < count && peekCurrent(now) != null) {
			selection.add(this.queue.poll());
		}
		List<Member> members = new ArrayList<>(selection.size());
		for (Item item : selection) {
			members.add(item.member);
			item.transmissions++;
			if (item.transmissions < limit) {
				this.queue.add(item);
			}
			else {
				this.currentItems.remove(item.member.name());
			}
		}
		return members;
	}

	private @Nullable Item peekCurrent(long now) {
		Item first = this.queue.peek();
		while (first != null && (this.currentItems.get(first.member.name()) != first || first.expiresAt <= now)) {
			this.queue.poll();
			this.currentItems.remove(first.member.name(), first);
			first = this.queue.peek();
		}
		return first;
	}

	/** Record with the number of its transmissions. */
	private static final class Item {

		private final Member member;

		private final long sequence;

		private final long expiresAt;

		private int transmissions;

		private Item(Member member, long sequence, long expiresAt, int transmissions) {
			this.member = member;
			this.sequence = sequence;
			this.expiresAt = expiresAt;
			this.transmissions = transmissions;
		}

	}

}
