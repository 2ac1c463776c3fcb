package org.wigeonmast.settings;

import java.util.List;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

/**
 * The settings of the links between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param address where the daemon accepts links, which it announces to the fleet
 * @param seeds the daemons to ask first; may be empty and may contain the daemon itself
 * @param key the key that all daemons of the fleet share
 */
public record PeerSettings(HostAddress address, List<HostAddress> seeds, SharedKey key) {

	/**
	 * Creates the settings.
	 */
	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

}
