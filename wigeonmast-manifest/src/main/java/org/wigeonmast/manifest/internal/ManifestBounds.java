package org.wigeonmast.manifest.internal;

/**
 * Limits on the size of a manifest.
 * <p>
 * Thread safety: stateless.
 */
public final class ManifestBounds {

	/**
	 * Maximum size of the index or of a part, which is the store's limit for a value.
	 */
	public static final int MAX_DOCUMENT_BYTES = 1_000_000;

	/** Maximum total size of all parts, twice that of a manifest of the design size. */
	public static final int MAX_TOTAL_BYTES = 32_000_000;

	private ManifestBounds() {
	}

}
