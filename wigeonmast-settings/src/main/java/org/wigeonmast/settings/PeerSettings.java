package org.wigeonmast.settings;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

/**
 * The settings of the links between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param address the address on which the daemon accepts links and which it announces to
 * the fleet
 * @param seeds the addresses of the daemons to contact in order to join the fleet; may be
 * empty and may contain the daemon itself
 * @param key the key that all daemons of the fleet share
 */
public record PeerSettings(HostAddress address, List<HostAddress> seeds, SharedKey key) {

	/**
	 * Creates the settings with an immutable copy of the seeds.
	 */
	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

}
