package org.wigeonmast.manifest.follow;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.Manifest;

/**
 * An effect of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface FollowEffect {

	/**
	 * Sends a message; loss is permitted.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(HostAddress to, ManifestMessage message) implements FollowEffect {
	}

	/**
	 * Reads the index from the store, to be answered by {@link FollowInput.StoreIndex
	 * StoreIndex} or {@link FollowInput.StoreFailed StoreFailed}.
	 */
	record ReadIndex() implements FollowEffect {
	}

	/**
	 * Watches the index, to be answered by {@link FollowInput.StoreIndex StoreIndex} when
	 * it differs from the known one, otherwise by {@link FollowInput.StoreUnchanged
	 * StoreUnchanged} after the wait, or by {@link FollowInput.StoreFailed StoreFailed}.
	 *
	 * @param knownHash the SHA-256 of the index that the store returned last
	 * @param waitTime the time in milliseconds to wait for a change
	 */
	record WatchIndex(String knownHash, long waitTime) implements FollowEffect {
	}

	/**
	 * Reads a part from the store, to be answered by {@link FollowInput.StorePart
	 * StorePart} or {@link FollowInput.StorePartFailed StorePartFailed}.
	 *
	 * @param hash the hash of the part
	 */
	record ReadPart(String hash) implements FollowEffect {
	}

	/**
	 * Puts an accepted manifest in force.
	 *
	 * @param manifest the manifest
	 */
	record Apply(Manifest manifest) implements FollowEffect {
	}

	/**
	 * The follower became ready or lost its readiness.
	 *
	 * @param ready whether the daemon may serve with the version in force
	 */
	record ReadinessChanged(boolean ready) implements FollowEffect {
	}

	/**
	 * Adds an audit entry.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements FollowEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for its text
	 */
	record Report(FollowEvent event, List<Object> parameters) implements FollowEffect {

		public Report {
			parameters = List.copyOf(parameters);
		}
	}

}
