package org.wigeonmast.manifest;

import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.wigeonmast.manifest.internal.IndexParser;
import org.wigeonmast.manifest.internal.ManifestReader;

/**
 * Reads and checks manifests in JSON, whose format {@code docs/manifest.md} describes.
 * <p>
 * Thread safety: immutable; usable from any thread. Invariant: memory and time in use are
 * bounded for every input.
 */
public final class JsonManifestChecker implements ManifestChecker {

	@Override
	public Either<List<String>, ManifestIndex> readIndex(byte[] bytes) {
		return new IndexParser().parse(bytes);
	}

	@Override
	public Either<List<String>, Manifest> check(ManifestIndex index, Map<String, byte[]> parts) {
		return new ManifestReader(index, parts).read();
	}

}
