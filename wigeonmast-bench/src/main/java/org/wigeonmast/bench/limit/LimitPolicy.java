package org.wigeonmast.bench.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.limit.LimitEffect;
import org.wigeonmast.limit.LimitInput;
import org.wigeonmast.limit.LimitMessage;
import org.wigeonmast.limit.LimitSubject;
import org.wigeonmast.limit.RateLimiter;

/**
 * One daemon's part of a way to hold a limit.
 * <p>
 * Thread safety: none.
 */
sealed interface LimitPolicy {

	boolean admit(long now);

	void receive(long now, DaemonId sender, Object message);

	void tick(long now);

	/**
	 * Shares leased by an owner, as in the product.
	 */
	final class LeasedShares implements LimitPolicy {

		private static final LimitSubject SUBJECT = new LimitSubject(LimitSubject.Kind.CALLER, "caller-1");

		private final RateLimiter gate;

		private final long limit;

		private final BiConsumer<DaemonId, Object> sender;

		LeasedShares(DaemonId self, List<DaemonId> live, long limit, BiConsumer<DaemonId, Object> sender) {
			this.gate = new RateLimiter(self);
			this.limit = limit;
			this.sender = sender;
			this.gate.handle(0, new LimitInput.MembersChanged(live));
		}

		@Override
		public boolean admit(long now) {
			List<LimitEffect> effects = this.gate.handle(now,
					new LimitInput.Check(new RequestId("r"), Map.of(SUBJECT, this.limit)));
			return effects.getFirst() instanceof LimitEffect.Admitted;
		}

		@Override
		public void receive(long now, DaemonId from, Object message) {
			send(this.gate.handle(now, new LimitInput.Received(from, (LimitMessage) message)));
		}

		@Override
		public void tick(long now) {
			if (this.gate.nextTick() <= now) {
				send(this.gate.tick(now));
			}
		}

		private void send(List<LimitEffect> effects) {
			for (LimitEffect effect : effects) {
				if (effect instanceof LimitEffect.Send send) {
					this.sender.accept(send.receiver(), send.message());
				}
			}
		}

	}

	/**
	 * Counts per daemon and window that are gossiped and merged by maximum.
	 */
	final class MergedCounts implements LimitPolicy {

		private static final long WINDOW = 1000;

		private static final long GOSSIP_INTERVAL = 100;

		private static final int FANOUT = 3;

		private final DaemonId self;

		private final List<DaemonId> live;

		private final long limit;

		private final Random random;

		private final BiConsumer<DaemonId, Object> sender;

		private Map<DaemonId, Long> counts = new HashMap<>();

		private long window;

		private long nextGossip;

		MergedCounts(DaemonId self, List<DaemonId> live, long limit, Random random,
				BiConsumer<DaemonId, Object> sender) {
			this.self = self;
			this.live = live;
			this.limit = limit;
			this.random = random;
			this.sender = sender;
		}

		@Override
		public boolean admit(long now) {
			roll(now);
			long sum = this.counts.values().stream().mapToLong(Long::longValue).sum();
			if (sum >= this.limit) {
				return false;
			}
			this.counts.merge(this.self, 1L, Long::sum);
			return true;
		}

		@Override
		public void receive(long now, DaemonId from, Object message) {
			roll(now);
			Counts received = (Counts) message;
			if (received.window == this.window) {
				received.counts.forEach((daemon, count) -> this.counts.merge(daemon, count, Math::max));
			}
		}

		@Override
		public void tick(long now) {
			roll(now);
			if (now >= this.nextGossip) {
				this.nextGossip = now + GOSSIP_INTERVAL;
				for (int i = 0; i < FANOUT; i++) {
					this.sender.accept(this.live.get(this.random.nextInt(this.live.size())),
							new Counts(this.window, Map.copyOf(this.counts)));
				}
			}
		}

		private void roll(long now) {
			if (now / WINDOW != this.window) {
				this.window = now / WINDOW;
				this.counts = new HashMap<>();
			}
		}

		private record Counts(long window, Map<DaemonId, Long> counts) {
		}

	}

}
