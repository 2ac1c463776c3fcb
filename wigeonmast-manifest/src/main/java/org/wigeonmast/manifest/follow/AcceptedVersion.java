package org.wigeonmast.manifest.follow;

import java.util.Map;

import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestIndex;

/**
 * An accepted manifest with the bytes from which peers are served.
 * <p>
 * Thread safety: immutable; byte arrays must not be changed.
 *
 * @param manifest the checked manifest
 * @param index its index
 * @param indexBytes the bytes of the index
 * @param parts the bytes of all parts by hash
 */
record AcceptedVersion(Manifest manifest, ManifestIndex index, byte[] indexBytes, Map<String, byte[]> parts) {

	VersionStamp stamp() {
		return new VersionStamp(this.index.version(), this.index.hash());
	}

}
