package org.wigeonmast.bench.fleet;

import org.wigeonmast.manifest.follow.ManifestMessage;
import org.wigeonmast.membership.MembershipMessage;

/**
 * A message on the simulated network, encoded or as an object.
 * <p>
 * Thread safety: immutable.
 */
sealed interface Packet {

	/**
	 * A membership message.
	 *
	 * @param message the message
	 */
	record OfMembership(MembershipMessage message) implements Packet {
	}

	/**
	 * A manifest message.
	 *
	 * @param message the message
	 */
	record OfManifest(ManifestMessage message) implements Packet {
	}

	/**
	 * An encoded message.
	 *
	 * @param membership whether it is a membership message
	 * @param bytes the bytes
	 */
	record Encoded(boolean membership, byte[] bytes) implements Packet {
	}

}
