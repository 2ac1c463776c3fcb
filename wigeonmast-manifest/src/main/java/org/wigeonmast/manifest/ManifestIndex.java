package org.wigeonmast.manifest;

import java.util.List;

/**
 * The index of a manifest: its version and its parts.
 * <p>
 * Thread safety: immutable.
 *
 * @param version the version, greater than 0; a higher version supersedes a lower one
 * @param hash the SHA-256 of the index's bytes in lower-case hexadecimal
 * @param parts the parts
 */
public record ManifestIndex(long version, String hash, List<ManifestPart> parts) {

	/**
	 * Creates an index.
	 */
	public ManifestIndex {
		parts = List.copyOf(parts);
	}

}
