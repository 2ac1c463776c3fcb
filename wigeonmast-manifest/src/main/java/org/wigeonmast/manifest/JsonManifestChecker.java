package org.wigeonmast.manifest;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.internal.CheckedManifest;
import org.wigeonmast.manifest.internal.IndexParser;
import org.wigeonmast.manifest.internal.ManifestReader;

/**
 * A checker for manifests in the JSON format that {@code docs/manifest.md} describes.
 * <p>
 * Thread safety: usable from any thread. Invariants: a result depends only on the
 * arguments, given that a hash identifies the bytes of a part; memory use is bounded for
 * every input. The parts of the last valid manifest are cached, so that after a change of
 * one part the others are not parsed again.
 */
public final class JsonManifestChecker implements ManifestChecker {

	private final AtomicReference<@Nullable CheckedManifest> last = new AtomicReference<>();

	@Override
	public Either<List<String>, ManifestIndex> readIndex(byte[] bytes) {
		return new IndexParser().parse(bytes);
	}

	@Override
	public Either<List<String>, Manifest> check(ManifestIndex index, Map<String, byte[]> parts) {
		return new ManifestReader(index, parts, this.last.get()).read()
			.peek(this.last::set)
			.map((checked) -> new InMemoryManifest(index.version(), index.hash(), checked.content()));
	}

}
