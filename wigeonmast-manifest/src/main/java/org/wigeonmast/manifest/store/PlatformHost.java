package org.wigeonmast.manifest.store;

import org.wigeonmast.core.HostAddress;

/**
 * A host in the platform's list, which lags behind the truth.
 * <p>
 * Thread safety: immutable.
 *
 * @param role what the host is for
 * @param address for an entry host where its daemon accepts links, for a backend host
 * where its server accepts HTTP
 * @param leaving whether the host is leaving
 */
public record PlatformHost(Role role, HostAddress address, boolean leaving) {

	/** What a host is for. */
	public enum Role {

		/** Runs a daemon. */
		ENTRY,

		/** Runs a backend server. */
		BACKEND

	}

}
