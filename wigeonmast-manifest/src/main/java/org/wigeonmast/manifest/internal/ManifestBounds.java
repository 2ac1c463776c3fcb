package org.wigeonmast.manifest.internal;

/**
 * Bounds on the size of a manifest in bytes.
 * <p>
 * Thread safety: stateless.
 */
public final class ManifestBounds {

	/**
	 * Greatest size of the index or of a part, which is the store's limit for a value.
	 */
	public static final int GREATEST_DOCUMENT = 1_000_000;

	/** Greatest size of all parts, twice that of a manifest of the design size. */
	public static final int GREATEST_TOTAL = 32_000_000;

	private ManifestBounds() {
	}

}
