package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Changed records that wait to be passed on, those passed on least often first.
 * <p>
 * Thread safety: none. Invariant: there is at most one current record of each daemon, and
 * each is passed on a number of times that grows with the logarithm of the fleet's size.
 */
final class UpdateQueue {

	private static final int TRANSMISSIONS_PER_DOUBLING = 2;

	private final Map<String, Item> current = new HashMap<>();

	private final PriorityQueue<Item> order = new PriorityQueue<>(
			Comparator.comparingInt((Item item) -> item.transmissions).thenComparingLong((item) -> -item.sequence));

	private long sequence;

	void add(Member member) {
		Item item = new Item(member, this.sequence++);
		this.current.put(member.name(), item);
		this.order.add(item);
	}

	/**
	 * Returns whether a record has not been passed on at all.
	 * @return whether there is one
	 */
	boolean hasNew() {
		Item first = peek();
		return first != null && first.transmissions == 0;
	}

	/**
	 * Takes records for one message and counts them as passed on once.
	 * @param count the greatest number of records
	 * @param fleetSize the number of members
	 * @return the records
	 */
	List<Member> take(int count, int fleetSize) {
		int limit = TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize + 1));
		List<Item> taken = new ArrayList<>(count);
		while (taken.size() < count && peek() != null) {
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

	private @Nullable Item peek() {
		Item first = this.order.peek();
		while (first != null && this.current.get(first.member.name()) != first) {
			this.order.poll();
			first = this.order.peek();
		}
		return first;
	}

	/** A record with the number of messages with which it was passed on. */
	private static final class Item {

		private final Member member;

		private final long sequence;

		private int transmissions;

		private Item(Member member, long sequence) {
			this.member = member;
			this.sequence = sequence;
		}

	}

}
