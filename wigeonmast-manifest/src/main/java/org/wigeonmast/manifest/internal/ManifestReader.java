package org.wigeonmast.manifest.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * A reader that parses the parts of one manifest and validates them as a whole.
 * <p>
 * Thread safety: none; an instance reads one manifest. Invariant: a part that the
 * previous manifest contains is not parsed again.
 */
public final class ManifestReader {

	private final ManifestIndex index;

	private final Map<String, byte[]> bytes;

	private final @Nullable CheckedManifest previous;

	private final ErrorList errors = new ErrorList();

	private final PartParser parser = new PartParser(this.errors);

	/**
	 * Creates a reader.
	 * @param index the index
	 * @param bytes the bytes of the parts by hash
	 * @param previous the last valid manifest, or {@code null} if there is none
	 */
	public ManifestReader(ManifestIndex index, Map<String, byte[]> bytes, @Nullable CheckedManifest previous) {
		this.index = index;
		this.bytes = bytes;
		this.previous = previous;
	}

	/**
	 * Reads the manifest.
	 * @return the manifest, or every error found
	 */
	public Either<List<String>, CheckedManifest> read() {
		List<ParsedPart> parts = new ArrayList<>();
		Map<String, ParsedPart> byHash = HashMap.newHashMap(this.index.parts().size());
		for (ManifestPart part : this.index.parts()) {
			ParsedPart parsed = readPart(part);
			if (parsed != null) {
				parts.add(parsed);
				byHash.put(part.hash(), parsed);
			}
		}
		ManifestContent content = new ManifestAssembler(parts, this.previous, this.errors).assemble();
		return this.errors.isEmpty() ? Either.right(new CheckedManifest(content, List.copyOf(parts), byHash))
				: Either.left(this.errors.toList());
	}

	private @Nullable ParsedPart readPart(ManifestPart part) {
		byte[] document = this.bytes.get(part.hash());
		ParsedPart cached = (this.previous != null) ? this.previous.findPart(part.hash(), part.name()) : null;
		if (document == null) {
			this.errors.add(ManifestErrorMessages.partMissing(part.name(), part.hash()));
		}
		else if (document.length != part.size()) {
			this.errors.add(ManifestErrorMessages.partSizeMismatch(part.name(), part.size(), document.length));
		}
		else if (cached != null) {
			return cached;
		}
		else if (!Hashes.sha256(document).equals(part.hash())) {
			this.errors.add(ManifestErrorMessages.partHashMismatch(part.name(), part.hash()));
		}
		else {
			return this.parser.parse(part.name(), document);
		}
		return null;
	}

}
