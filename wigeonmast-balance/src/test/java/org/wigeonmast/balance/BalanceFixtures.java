package org.wigeonmast.balance;

import java.util.List;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.manifest.RoutePolicy;
import org.wigeonmast.manifest.WorkClass;

/** Servers, requests and configurations for tests. */
public final class BalanceFixtures {

	/** The failure domain of the daemon under test. */
	public static final FailureDomain HOME = new FailureDomain(new Region("addis"), "merkato");

	/** Another failure domain of the same region. */
	public static final FailureDomain NEAR = new FailureDomain(new Region("addis"), "piassa");

	/** A failure domain of another region. */
	public static final FailureDomain FAR = new FailureDomain(new Region("dire"), "kezira");

	/** The service of all servers and requests. */
	public static final ServiceName SERVICE = new ServiceName("claims");

	private static final RoutePolicy PLAN = new RoutePolicy("claim", 1500, 600, 2, 1);

	private BalanceFixtures() {
	}

	public static ServerRecord server(String id) {
		return server(id, HOME);
	}

	public static ServerRecord server(String id, FailureDomain domain) {
		return new ServerRecord(new BackendServerId(id), 1, SERVICE, new HostAddress("127.0.0.1", 1000), domain, 2,
				false, 0);
	}

	public static RequestDescription request(String id, boolean idempotent, long deadline) {
		return new RequestDescription(new RequestId(id), new CallerId("caller"), SERVICE, WorkClass.SHORT, idempotent,
				deadline, true, null, 0, "shown-" + id, PLAN);
	}

	/**
	 * Returns a request that is not idempotent.
	 * @param id the identifier
	 * @param deadline the monotonic time in milliseconds of its deadline
	 * @param targetLatency the target latency in milliseconds
	 * @return the request
	 */
	static RequestDescription request(String id, long deadline, long targetLatency) {
		return new RequestDescription(new RequestId(id), new CallerId("caller"), SERVICE, WorkClass.SHORT, false,
				deadline, true, null, 0, "shown-" + id, new RoutePolicy("claim", deadline, targetLatency, 2, 1));
	}

	public static FleetConfiguration configuration(long version) {
		return new FleetConfiguration(version, List.of(), List.of(new ServiceConfiguration(SERVICE, 330)),
				new CallerLimits(16_384, 1 << 20, 3000, 15_000));
	}

}
