package org.wigeonmast.manifest.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * Reads the parts of one manifest and checks them as a whole.
 * <p>
 * Thread safety: none; used for one manifest.
 */
public final class ManifestReader {

	private final ManifestIndex index;

	private final Map<String, byte[]> bytes;

	private final ErrorList errors = new ErrorList();

	private final PartParser parser = new PartParser(this.errors);

	/**
	 * Creates a reader.
	 * @param index the index
	 * @param bytes the bytes of the parts by hash
	 */
	public ManifestReader(ManifestIndex index, Map<String, byte[]> bytes) {
		this.index = index;
		this.bytes = bytes;
	}

	/**
	 * Reads the manifest.
	 * @return the manifest, or every error found
	 */
	public Either<List<String>, Manifest> read() {
		List<ParsedPart> parts = new ArrayList<>();
		for (ManifestPart part : this.index.parts()) {
			byte[] document = this.bytes.get(part.hash());
			if (document == null) {
				this.errors.add(ManifestTexts.partMissing(part.name(), part.hash()));
			}
			else if (document.length != part.size()) {
				this.errors.add(ManifestTexts.partSize(part.name(), part.size(), document.length));
			}
			else if (!Hashes.sha256(document).equals(part.hash())) {
				this.errors.add(ManifestTexts.partHash(part.name(), part.hash()));
			}
			else {
				parts.add(this.parser.parse(part.name(), document));
			}
		}
		ManifestAssembler assembler = new ManifestAssembler(parts, this.errors);
		assembler.check();
		return this.errors.isEmpty() ? Either.right(assembler.build(this.index)) : Either.left(this.errors.toList());
	}

}
