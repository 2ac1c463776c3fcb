package org.wigeonmast.verification.fleet;

import org.junit.jupiter.api.Test;
import org.wigeonmast.manifest.Manifest;

import static com.google.common.truth.Truth.assertThat;

/** Reduced from a case of {@link FleetFuzzTests}. */
class ReadersCrashTests {

	/**
	 * Guards against a manifest that is not in force within 8 s after both daemons that
	 * read the store crashed.
	 */
	@Test
	void manifestIsInForceAfterBothReadersCrash() {
		VirtualFleet fleet = new VirtualFleet(1);
		fleet.run(20_000);
		fleet.crash(0);
		fleet.crash(1);
		fleet.publish();
		fleet.run(8000);
		Manifest routing = fleet.daemons.get(2).core.routingManifest();
		assertThat((routing != null) ? routing.version() : 0).isEqualTo(fleet.published());
	}

}
