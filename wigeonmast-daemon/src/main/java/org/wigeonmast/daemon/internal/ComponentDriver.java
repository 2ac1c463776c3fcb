package org.wigeonmast.daemon.internal;

import java.util.List;
import java.util.function.Consumer;

import org.wigeonmast.core.Component;

/**
 * Driver that passes messages and timer ticks to one component and executes its effects.
 * <p>
 * Thread safety: confined to the control thread. Invariant: while the component has a
 * timer, a tick is scheduled no later than that timer.
 *
 * @param <M> the component's messages
 * @param <E> the component's effects
 */
public final class ComponentDriver<M, E> {

	/**
	 * Delay in milliseconds from which a timer is taken to be late because the process
	 * stood still.
	 */
	private static final long STANDSTILL_MS = 50;

	/**
	 * Time in milliseconds within which messages that arrived during a standstill are
	 * handled.
	 */
	private static final long INPUT_GRACE_MS = 20;

	private final ControlLoop control;

	private final Component<M, E> component;

	private final Consumer<E> effectHandler;

	private long scheduledTick = Component.NO_TIMER;

	private boolean stopped;

	/**
	 * Creates a driver.
	 * @param control the control thread
	 * @param component the component
	 * @param effectHandler executes one effect
	 */
	public ComponentDriver(ControlLoop control, Component<M, E> component, Consumer<E> effectHandler) {
		this.control = control;
		this.component = component;
		this.effectHandler = effectHandler;
	}

	/** Schedules the first tick. */
	public void start() {
		scheduleTick();
	}

	/** Stops the timers; later messages are ignored. */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Passes a message to the component; ignored after {@link #stop()}.
	 * @param message the message
	 */
	public void handle(M message) {
		if (!this.stopped) {
			applyEffects(this.component.handle(this.control.clock().milliseconds(), message));
		}
	}

	private void tick() {
		this.scheduledTick = Component.NO_TIMER;
		if (!this.stopped) {
			applyEffects(this.component.tick(this.control.clock().milliseconds()));
		}
	}

	private void applyEffects(List<E> list) {
		try {
			list.forEach(this.effectHandler);
		}
		finally {
			scheduleTick();
		}
	}

	private void scheduleTick() {
		long next = this.component.nextTick();
		if (next < this.scheduledTick) {
			this.scheduledTick = next;
			long now = this.control.clock().milliseconds();
			// A timer at Long.MIN_VALUE must not overflow into a very long delay.
			long delayMs = (next <= now) ? 0 : next - now;
			this.control.schedule(delayMs, () -> runTick(next, now + delayMs));
		}
	}

	private void runTick(long scheduled, long dueAt) {
		if (this.scheduledTick != scheduled) {
			return;
		}
		if (this.control.clock().milliseconds() - dueAt < STANDSTILL_MS) {
			tick();
			return;
		}
		this.control.schedule(INPUT_GRACE_MS, () -> {
			if (this.scheduledTick == scheduled) {
				tick();
			}
		});
	}

}
