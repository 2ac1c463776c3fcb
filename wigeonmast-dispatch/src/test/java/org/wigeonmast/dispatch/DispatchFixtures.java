package org.wigeonmast.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * Fixtures shared by the dispatch tests.
 */
final class DispatchFixtures {

	static final Region ADDIS = new Region("addis");

	static final Region DIRE = new Region("dire");

	static final ServiceName BOARD = new ServiceName("rota-board");

	static final CallerId CALLER = new CallerId("kitchen-7");

	private DispatchFixtures() {
	}

	static DaemonId daemon(int number) {
		return new DaemonId("entry-" + number, 1);
	}

	static BackendServerId serverId(Region region, int number) {
		return new BackendServerId(region + "-" + number);
	}

	static Service service(int serversPerRegion, int slots, Region... regions) {
		List<BackendServer> servers = new ArrayList<>();
		for (Region region : regions) {
			for (int i = 0; i < serversPerRegion; i++) {
				servers.add(new BackendServer(serverId(region, i), new HostAddress("127.0.0.1", 9000 + i),
						new FailureDomain(region, "a"), slots, 330));
			}
		}
		return new Service(BOARD, servers, serversPerRegion / 2, 0.5, 0, Service.DEFAULT_KEY_LIFETIME_MS);
	}

	static RequestDescription request(String id, boolean idempotent, long deadline) {
		return new RequestDescription(new RequestId(id), CALLER, BOARD, WorkClass.SHORT, idempotent, deadline, true,
				null, 0);
	}

}
