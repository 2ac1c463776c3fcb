package org.wigeonmast.proxy;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * Manifest with one service, to which every path that starts with /s is routed.
 * <p>
 * Thread safety: immutable.
 */
record FakeManifest(long timeout) implements Manifest {

	static final ServiceName SERVICE = new ServiceName("board");

	@Override
	public long version() {
		return 1;
	}

	@Override
	public String hash() {
		return "";
	}

	@Override
	public Collection<Service> services() {
		return List.of();
	}

	@Override
	public @Nullable Service service(ServiceName name) {
		return null;
	}

	@Override
	public @Nullable Route route(String method, String path) {
		return path.startsWith("/s") ? new Route("*", "/s", SERVICE, WorkClass.SHORT, true, this.timeout) : null;
	}

	@Override
	public long callerLimit(CallerId caller) {
		return 0;
	}

	@Override
	public Map<FailureDomain, Integer> daemons() {
		return Map.of();
	}

}
