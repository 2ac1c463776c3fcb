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
 * Thread safety: none. Invariants: there is at most one current record of each daemon;
 * each is passed on a number of times that grows with the logarithm of the fleet's size,
 * less often when others pass it on to this daemon, and not after some time, because
 * requests for differing records have spread it by then.
 */
final class UpdateQueue {

	private static final int TRANSMISSIONS_PER_DOUBLING = 2;

	/** Time in milliseconds after which a record is no longer passed on. */
	private static final long MAXIMUM_AGE = 10_000;

	/** Transmissions for which one counts that brings a record that is known. */
	private static final int HEARD_AGAIN = 1;

	/** Transmissions up to which a record does not wait for a probe. */
	private static final int PUSHES = 3;

	private final Map<String, Item> current = new HashMap<>();

	private final PriorityQueue<Item> order = new PriorityQueue<>(
			Comparator.comparingInt((Item item) -> item.transmissions).thenComparingLong((item) -> -item.sequence));

	private long sequence;

	void add(long now, Member member) {
		put(new Item(member, this.sequence++, now + MAXIMUM_AGE, 0));
	}

	/**
	 * Takes note that another daemon passed on a record that is known here.
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
	 * Returns whether a record is to be pushed without waiting for a probe.
	 * @param now the time in milliseconds
	 * @return whether there is one
	 */
	boolean hasUrgent(long now) {
		Item first = peek(now);
		return first != null && first.transmissions < PUSHES;
	}

	/**
	 * Takes records for one message and counts them as passed on once.
	 * @param now the time in milliseconds
	 * @param count the greatest number of records
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

	/** A record with the number of messages with which it was passed on. */
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
