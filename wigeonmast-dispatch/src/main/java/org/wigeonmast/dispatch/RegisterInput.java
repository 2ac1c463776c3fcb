package org.wigeonmast.dispatch;

import java.util.Collection;
import java.util.List;

import org.wigeonmast.core.DaemonId;

/**
 * An input of a {@link IdempotencyKeyRegister}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface RegisterInput {

	/**
	 * A message from a daemon about keys, tenure or a transfer; others are ignored.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, DispatchMessage message) implements RegisterInput {
	}

	/**
	 * The daemons of this region changed.
	 *
	 * @param live the live daemons, including this one
	 * @param declared the maximum number of daemons in the region, from the manifest
	 */
	record DaemonsChanged(Collection<DaemonId> live, int declared) implements RegisterInput {

		public DaemonsChanged {
			live = List.copyOf(live);
		}

	}

	/**
	 * The key lifetime in the manifest changed.
	 *
	 * @param keyLifetime the lifetime in milliseconds
	 */
	record LifetimeChanged(long keyLifetime) implements RegisterInput {
	}

	/**
	 * This daemon stops or is no longer the owner, so it hands its register over.
	 *
	 * @param successor the next owner
	 */
	record HandOver(DaemonId successor) implements RegisterInput {
	}

}
