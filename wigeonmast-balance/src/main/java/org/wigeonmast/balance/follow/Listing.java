package org.wigeonmast.balance.follow;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.balance.ServerRecord;

/**
 * The published state as a whole.
 * <p>
 * Thread safety: immutable.
 *
 * @param revision the revision from which changes have to be followed
 * @param servers the backend servers
 * @param configuration the configuration, if there is a usable one
 */
public record Listing(long revision, List<ServerRecord> servers, @Nullable FleetConfiguration configuration) {

	public Listing {
		servers = List.copyOf(servers);
	}

}
