package org.wigeonmast.manifest.follow;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * Another live daemon, with the properties that matter for distributing manifests.
 * <p>
 * Thread safety: immutable.
 *
 * @param address the address on which it accepts messages
 * @param region its region
 * @param reader whether it is a store reader of its region
 */
public record Peer(HostAddress address, Region region, boolean reader) {
}
