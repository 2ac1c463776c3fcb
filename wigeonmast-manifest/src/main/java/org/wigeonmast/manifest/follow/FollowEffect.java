package org.wigeonmast.manifest.follow;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.Manifest;

/**
 * An effect that the {@link ManifestFollower} requests.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface FollowEffect {

	/**
	 * Sends a message; delivery is not guaranteed.
	 *
	 * @param to the address of the recipient
	 * @param message the message
	 */
	record Send(HostAddress to, ManifestMessage message) implements FollowEffect {
	}

	/**
	 * Reads the index from the store; the result is passed back as
	 * {@link FollowInput.StoreIndex} or {@link FollowInput.StoreFailed}.
	 */
	record ReadIndex() implements FollowEffect {
	}

	/**
	 * Watches the index; the result is passed back as {@link FollowInput.StoreIndex} when
	 * the index differs from the known one, as {@link FollowInput.StoreUnchanged} after
	 * the wait time, or as {@link FollowInput.StoreFailed}.
	 *
	 * @param knownHash the SHA-256 of the index last returned by the store
	 * @param waitTime the time in milliseconds to wait for a change
	 */
	record WatchIndex(String knownHash, long waitTime) implements FollowEffect {
	}

	/**
	 * Reads a part from the store; the result is passed back as
	 * {@link FollowInput.StorePart} or {@link FollowInput.StorePartFailed}.
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
	 * Reports that the follower became ready or lost its readiness.
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
