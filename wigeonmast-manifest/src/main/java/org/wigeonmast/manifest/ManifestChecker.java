package org.wigeonmast.manifest;

import java.util.List;
import java.util.Map;

import io.vavr.control.Either;

/**
 * A parser and validator of complete manifests.
 * <p>
 * Thread safety: implementations are immutable.
 */
public interface ManifestChecker {

	/**
	 * Parses an index.
	 * @param bytes the bytes of the index
	 * @return the index, or every error found
	 */
	Either<List<String>, ManifestIndex> readIndex(byte[] bytes);

	/**
	 * Parses all parts and validates the manifest as a whole.
	 * @param index the index
	 * @param parts the bytes of the parts by hash
	 * @return the manifest, or every error found
	 */
	Either<List<String>, Manifest> check(ManifestIndex index, Map<String, byte[]> parts);

}
