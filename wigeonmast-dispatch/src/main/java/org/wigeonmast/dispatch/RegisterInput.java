package org.wigeonmast.dispatch;

import java.util.Collection;
import java.util.List;

import org.wigeonmast.core.DaemonId;

/**
 * An input of a {@link RequestRegister}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface RegisterInput {

	/**
	 * A message of a daemon about keys, tenure or a transfer; others are ignored.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, DispatchMessage message) implements RegisterInput {
	}

	/**
	 * The daemons of this region changed.
	 *
	 * @param live the live daemons, with this one
	 * @param declared the greatest number of daemons that run in the region, from the
	 * manifest
	 */
	record DaemonsChanged(Collection<DaemonId> live, int declared) implements RegisterInput {

		public DaemonsChanged {
			live = List.copyOf(live);
		}

	}

	/**
	 * The lifetime of keys changed in the manifest.
	 *
	 * @param keyLifetime the time in milliseconds
	 */
	record LifetimeChanged(long keyLifetime) implements RegisterInput {
	}

	/**
	 * This daemon stops, or is no longer the owner, and hands its register over.
	 *
	 * @param successor the next owner
	 */
	record HandOver(DaemonId successor) implements RegisterInput {
	}

}
