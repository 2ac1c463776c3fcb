package org.wigeonmast.manifest.follow;

import java.util.Map;

import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * An accepted manifest with the bytes that are sent to peers on request.
 * <p>
 * Thread safety: immutable; byte arrays must not be changed.
 *
 * @param manifest the checked manifest
 * @param index the parsed index
 * @param indexBytes the bytes of the index
 * @param parts the bytes of all parts by hash
 */
record AcceptedVersion(Manifest manifest, ManifestIndex index, byte[] indexBytes, Map<String, byte[]> parts) {

	VersionStamp stamp() {
		return new VersionStamp(this.index.version(), this.index.hash());
	}

	/**
	 * Returns the name of a part.
	 * @param hash the hash of the part
	 * @return the name, empty if there is no such part
	 */
	String partName(String hash) {
		return this.index.parts()
			.stream()
			.filter((part) -> part.hash().equals(hash))
			.map(ManifestPart::name)
			.findFirst()
			.orElse("");
	}

	/**
	 * Returns the hash of a part.
	 * @param name the name of the part
	 * @return the hash, empty if there is no such part
	 */
	String partHash(String name) {
		return this.index.parts()
			.stream()
			.filter((part) -> part.name().equals(name))
			.map(ManifestPart::hash)
			.findFirst()
			.orElse("");
	}

}
