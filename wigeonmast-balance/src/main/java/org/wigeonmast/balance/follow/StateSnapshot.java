package org.wigeonmast.balance.follow;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.balance.ServerRecord;

/**
 * A snapshot of the whole published state.
 * <p>
 * Thread safety: immutable.
 *
 * @param revision the revision of the snapshot, from which the watch continues
 * @param servers the backend servers
 * @param configuration the configuration, {@code null} if there is no valid one
 */
public record StateSnapshot(long revision, List<ServerRecord> servers, @Nullable FleetConfiguration configuration) {

	public StateSnapshot {
		servers = List.copyOf(servers);
	}

}
