package org.wigeonmast.daemon.internal;

import java.util.List;

import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * Listener for changes of the fleet and of the manifest.
 * <p>
 * Thread safety: called on the control thread.
 */
interface FleetListener {

	/** Called when the members, their phases or their ranks as owners change. */
	void onMembersChanged();

	/**
	 * Called when a manifest comes into force.
	 * @param manifest the manifest
	 */
	void onManifestApplied(Manifest manifest);

	/**
	 * Called when the daemon becomes ready or stops being ready.
	 * @param ready whether it is ready
	 */
	void onReadinessChanged(boolean ready);

	/**
	 * Called when the host list was read.
	 * @param hosts the hosts
	 */
	void onHostsRead(List<PlatformHost> hosts);

	/** Called when the process resumes after a pause. */
	void onResumed();

}
