package org.wigeonmast.bench.path;

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
 * Manifest with one route for everything.
 * <p>
 * Thread safety: immutable.
 */
record PathManifest(Service only) implements Manifest {

	private static final long TIMEOUT_MILLISECONDS = 5000;

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
		return List.of(this.only);
	}

	@Override
	public @Nullable Service service(ServiceName name) {
		return this.only.name().equals(name) ? this.only : null;
	}

	@Override
	public @Nullable Route route(String method, String path) {
		return new Route("*", "/", this.only.name(), WorkClass.SHORT, true, TIMEOUT_MILLISECONDS);
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
