package org.wigeonmast.verification.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.daemon.internal.DaemonCore;
import org.wigeonmast.health.ServerHealth;

/**
 * One start of a daemon: the real decisions with a virtual loop and proxy.
 * <p>
 * Thread safety: none.
 */
final class VirtualDaemon {

	final DaemonId id;

	final HostAddress address;

	final VirtualLoop loop;

	final VirtualProxy proxy;

	final DaemonCore core;

	boolean dead;

	boolean leaving;

	boolean refusesCallers;

	VirtualDaemon(DaemonId id, HostAddress address, VirtualLoop loop, VirtualProxy proxy, DaemonCore core) {
		this.id = id;
		this.address = address;
		this.loop = loop;
		this.proxy = proxy;
		this.core = core;
	}

	boolean runs() {
		return !this.dead && !this.loop.isPaused();
	}

	Set<String> ejected(ServiceName service) {
		List<ServerHealth> states = this.core.states(service);
		return states.stream()
			.filter((server) -> server.state() == ServerHealth.State.EJECTED)
			.map((server) -> server.server().value())
			.collect(Collectors.toSet());
	}

}
