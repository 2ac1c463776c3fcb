package org.wigeonmast.testing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;
import java.util.random.RandomGenerator;

/**
 * Simulated network in virtual time with delay, loss, duplication, reordering and one-way
 * cuts.
 * <p>
 * Thread safety: none. Invariant: a message that crosses a cut at the time of sending or
 * of arrival is lost.
 *
 * @param <A> the type of addresses
 * @param <M> the type of messages
 */
public final class FakeNetwork<A, M> {

	private final EventQueue queue;

	private final RandomGenerator random;

	private final ToLongBiFunction<A, A> delay;

	private final Map<A, BiConsumer<A, M>> receivers = new HashMap<>();

	private final Set<Direction<A>> cutDirections = new HashSet<>();

	private BiPredicate<A, A> cutCondition = (from, to) -> false;

	private double loss;

	private double duplication;

	private long jitterMicros;

	/**
	 * Creates a network.
	 * @param queue the event queue
	 * @param random the source of random loss, duplication and jitter
	 * @param delay the one-way delay in microseconds between two addresses
	 */
	public FakeNetwork(EventQueue queue, RandomGenerator random, ToLongBiFunction<A, A> delay) {
		this.queue = queue;
		this.random = random;
		this.delay = delay;
	}

	/**
	 * Registers the receiver of an address and replaces an earlier one.
	 * @param address the address
	 * @param receiver called with the sender and the message
	 */
	public void register(A address, BiConsumer<A, M> receiver) {
		this.receivers.put(address, receiver);
	}

	/**
	 * Removes the receiver of an address; messages to it are lost from then on.
	 * @param address the address
	 */
	public void remove(A address) {
		this.receivers.remove(address);
	}

	/**
	 * Sets the share of messages that are lost.
	 * @param loss the share, 0 to 1
	 */
	public void setLoss(double loss) {
		this.loss = loss;
	}

	/**
	 * Sets the share of messages that arrive twice.
	 * @param duplication the share, 0 to 1
	 */
	public void setDuplication(double duplication) {
		this.duplication = duplication;
	}

	/**
	 * Sets the upper bound of the random delay that is added to the delay between two
	 * addresses. It reorders messages.
	 * @param jitterMicros the delay in microseconds
	 */
	public void setJitter(long jitterMicros) {
		this.jitterMicros = jitterMicros;
	}

	/**
	 * Cuts all directions that match a condition, which replaces an earlier condition. In
	 * a large fleet, a condition needs less memory than one cut for each pair.
	 * @param condition tests the sender and the receiver
	 */
	public void setCutCondition(BiPredicate<A, A> condition) {
		this.cutCondition = condition;
	}

	/**
	 * Cuts the direction from one address to another.
	 * @param from the sender
	 * @param to the receiver
	 */
	public void cut(A from, A to) {
		this.cutDirections.add(new Direction<>(from, to));
	}

	/** Removes all cuts. */
	public void heal() {
		this.cutDirections.clear();
		this.cutCondition = (from, to) -> false;
	}

	/**
	 * Sends a message.
	 * @param from the sender
	 * @param to the receiver
	 * @param message the message
	 */
	public void send(A from, A to, M message) {
		Direction<A> direction = new Direction<>(from, to);
		if (isCut(direction) || this.random.nextDouble() < this.loss) {
			return;
		}
		schedule(direction, message);
		if (this.duplication > 0 && this.random.nextDouble() < this.duplication) {
			schedule(direction, message);
		}
	}

	private void schedule(Direction<A> direction, M message) {
		long delayMicros = this.delay.applyAsLong(direction.from, direction.to);
		if (this.jitterMicros > 0) {
			delayMicros += this.random.nextLong(this.jitterMicros);
		}
		this.queue.schedule(delayMicros, () -> deliver(direction, message));
	}

	private boolean isCut(Direction<A> direction) {
		return this.cutDirections.contains(direction) || this.cutCondition.test(direction.from, direction.to);
	}

	private void deliver(Direction<A> direction, M message) {
		BiConsumer<A, M> receiver = this.receivers.get(direction.to);
		if (receiver != null && !isCut(direction)) {
			receiver.accept(direction.from, message);
		}
	}

	private record Direction<A>(A from, A to) {
	}

}
