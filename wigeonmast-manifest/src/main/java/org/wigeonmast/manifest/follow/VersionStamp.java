package org.wigeonmast.manifest.follow;

/**
 * A manifest version together with the hash of its index.
 * <p>
 * Thread safety: immutable.
 *
 * @param version the version, 0 for none
 * @param hash the SHA-256 of the index in lower-case hexadecimal, empty for none
 */
public record VersionStamp(long version, String hash) {

	/** The stamp of a daemon that has accepted no manifest. */
	public static final VersionStamp NONE = new VersionStamp(0, "");

	@Override
	public String toString() {
		return this.version + "/" + this.hash.substring(0, Math.min(8, this.hash.length()));
	}

}
