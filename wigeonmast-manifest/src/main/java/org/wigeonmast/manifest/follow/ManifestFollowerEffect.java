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
public sealed interface ManifestFollowerEffect {

	/**
	 * Sends a message; delivery is not guaranteed.
	 *
	 * @param to the address of the recipient
	 * @param message the message
	 */
	record Send(HostAddress to, ManifestMessage message) implements ManifestFollowerEffect {
	}

	/**
	 * Reads the index from the store; the result is passed back as
	 * {@link ManifestFollowerInput.StoreIndexReceived} or
	 * {@link ManifestFollowerInput.StoreIndexFailed}.
	 */
	record ReadIndex() implements ManifestFollowerEffect {
	}

	/**
	 * Watches the index; the result is passed back as
	 * {@link ManifestFollowerInput.StoreIndexReceived} when the index differs from the
	 * known one, as {@link ManifestFollowerInput.StoreIndexUnchanged} after the wait
	 * time, or as {@link ManifestFollowerInput.StoreIndexFailed}.
	 *
	 * @param knownHash the SHA-256 of the index last returned by the store
	 * @param waitTime the time in milliseconds to wait for a change
	 */
	record WatchIndex(String knownHash, long waitTime) implements ManifestFollowerEffect {
	}

	/**
	 * Reads a part from the store; the result is passed back as
	 * {@link ManifestFollowerInput.StorePartReceived} or
	 * {@link ManifestFollowerInput.StorePartFailed}.
	 *
	 * @param hash the hash of the part
	 */
	record ReadPart(String hash) implements ManifestFollowerEffect {
	}

	/**
	 * Puts an accepted manifest in force.
	 *
	 * @param manifest the manifest
	 */
	record Apply(Manifest manifest) implements ManifestFollowerEffect {
	}

	/**
	 * Reports that the follower became ready or lost its readiness.
	 *
	 * @param ready whether the daemon may serve with the version in force
	 */
	record ReadinessChanged(boolean ready) implements ManifestFollowerEffect {
	}

	/**
	 * Adds an audit entry.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements ManifestFollowerEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for its text
	 */
	record Report(ManifestFollowerEvent event, List<Object> parameters) implements ManifestFollowerEffect {

		public Report {
			parameters = List.copyOf(parameters);
		}
	}

}
