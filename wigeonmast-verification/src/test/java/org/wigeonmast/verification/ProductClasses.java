package org.wigeonmast.verification;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;

/**
 * Leaves out test classes, which all modules build below one directory of the root.
 * <p>
 * Thread safety: stateless.
 */
final class ProductClasses implements ImportOption {

	@Override
	public boolean includes(Location location) {
		return !location.contains("/test-classes/");
	}

}
