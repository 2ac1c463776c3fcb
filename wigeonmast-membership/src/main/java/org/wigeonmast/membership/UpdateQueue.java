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
	private static final long MAXIMUM_AGE = 10_000;

	/** Number of transmissions that a received duplicate of a record counts for. */
	private static final int HEARD_AGAIN = 1;

	/** Number of transmissions that are pushed without waiting for the next probe. */
	private static final int PUSHES = 3;

	private final Map<String, Item> current = new HashMap<>();

	private final PriorityQueue<Item> order = new PriorityQueue<>(
			Comparator.comparingInt((Item item) -> item.transmissions).thenComparingLong((item) -> -item.sequence));

	private long sequence;

	void add(long now, Member member) {
		put(new Item(member, this.sequence++, now + MAXIMUM_AGE, 0));
	}

	/**
	 * Counts a received duplicate of a queued record as a transmission.
	 * @param member the record
	 */
	void heardAgain(Member member) {
		Item item = this.current.get(member.name());
		if (item != null && item.member.equals(member)) {
			put(new Item(member, item.sequence, item.expires, item.transmissions + HEARD_AGAIN));
		}
	}

	private void put(Item item) {
		this.current.put(item.member.name(), item);
		this.order.add(item);
	}

	/**
	 * Returns whether a record is to be pushed without waiting for the next probe.
	 * @param now the current monotonic time in milliseconds
	 * @return whether there is such a record
	 */
	boolean hasUrgent(long now) {
		Item first = peek(now);
		return first != null && first.transmissions < PUSHES;
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
		List<Item> taken = new ArrayList<>(count);
		while (taken.size() < count && peek(now) != null) {
			taken.add(this.order.poll());
		}
		List<Member> members = new ArrayList<>(taken.size());
		for (Item item : taken) {
			members.add(item.member);
			item.transmissions++;
			if (item.transmissions < limit) {
				this.order.add(item);
			}
			else {
				this.current.remove(item.member.name());
			}
		}
		return members;
	}

	private @Nullable Item peek(long now) {
		Item first = this.order.peek();
		while (first != null && (this.current.get(first.member.name()) != first || first.expires <= now)) {
			this.order.poll();
			this.current.remove(first.member.name(), first);
			first = this.order.peek();
		}
		return first;
	}

	/** Record with the number of its transmissions. */
	private static final class Item {

		private final Member member;

		private final long sequence;

		private final long expires;

		private int transmissions;

		private Item(Member member, long sequence, long expires, int transmissions) {
			this.member = member;
			this.sequence = sequence;
			this.expires = expires;
			this.transmissions = transmissions;
		}

	}

}
