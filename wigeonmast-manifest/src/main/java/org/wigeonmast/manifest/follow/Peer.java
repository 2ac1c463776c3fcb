package org.wigeonmast.manifest.follow;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * Another live daemon, as far as the distribution of manifests needs to know it.
 * <p>
 * Thread safety: immutable.
 *
 * @param address where it accepts messages
 * @param region its region
 * @param reader whether it is one of its region's readers of the store
 */
public record Peer(HostAddress address, Region region, boolean reader) {
}
