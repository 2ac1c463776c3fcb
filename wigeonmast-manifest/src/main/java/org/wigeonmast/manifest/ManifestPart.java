package org.wigeonmast.manifest;

/**
 * The entry for one part in a manifest index.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name, unique within the index
 * @param hash the SHA-256 of the part's bytes in lower-case hexadecimal, which is also
 * its key in the store
 * @param size the size in bytes
 */
public record ManifestPart(String name, String hash, long size) {
}
