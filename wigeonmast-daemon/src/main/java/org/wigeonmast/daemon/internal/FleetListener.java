package org.wigeonmast.daemon.internal;

import java.util.List;

import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * Takes changes of the fleet and of the manifest.
 * <p>
 * Thread safety: called on the control thread.
 */
interface FleetListener {

	/** Members, their phases or their order as owners changed. */
	void onMembersChanged();

	/**
	 * A manifest was put in force.
	 * @param manifest the manifest
	 */
	void onManifestApplied(Manifest manifest);

	/**
	 * The daemon may serve, or must not.
	 * @param ready whether it may serve
	 */
	void onReadinessChanged(boolean ready);

	/**
	 * The host list was read.
	 * @param hosts the hosts
	 */
	void onHostsRead(List<PlatformHost> hosts);

	/** The process was paused and resumed. */
	void onResumed();

}
