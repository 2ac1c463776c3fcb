package org.wigeonmast.manifest.store;

import org.wigeonmast.core.HostAddress;

/**
 * A host in the platform's host list, which may lag behind the actual state.
 * <p>
 * Thread safety: immutable.
 *
 * @param role the role of the host
 * @param address the address on which the daemon of an entry host accepts links, or the
 * server of a backend host accepts HTTP connections
 * @param leaving whether the host is leaving
 */
public record PlatformHost(Role role, HostAddress address, boolean leaving) {

	/** The role of a host. */
	public enum Role {

		/** Runs a daemon. */
		ENTRY,

		/** Runs a backend server. */
		BACKEND

	}

}
