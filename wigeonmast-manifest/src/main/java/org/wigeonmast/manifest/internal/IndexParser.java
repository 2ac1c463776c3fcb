package org.wigeonmast.manifest.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * A parser for the index of a manifest.
 * <p>
 * Thread safety: none; an instance parses one index.
 */
public final class IndexParser {

	/** Name of the index in error messages. */
	private static final String INDEX = "index";

	private static final long MISSING = -1;

	private final ErrorList errors = new ErrorList();

	private long version = MISSING;

	private @Nullable List<ManifestPart> parts;

	/**
	 * Parses an index.
	 * @param bytes the JSON document
	 * @return the index, or every error found
	 */
	public Either<List<String>, ManifestIndex> parse(byte[] bytes) {
		if (bytes.length > ManifestBounds.MAX_DOCUMENT_BYTES) {
			return Either
				.left(List.of(ManifestErrorMessages.documentTooLarge(INDEX, ManifestBounds.MAX_DOCUMENT_BYTES)));
		}
		try (JsonCursor cursor = new JsonCursor(INDEX, bytes, this.errors)) {
			cursor.moveToRoot();
			if (cursor.enterObject()) {
				read(cursor);
			}
			cursor.checkEnd();
		}
		catch (JsonProcessingException exception) {
			this.errors.add(ManifestErrorMessages.syntaxError(INDEX, exception));
		}
		catch (IOException exception) {
			this.errors.add(ManifestErrorMessages.inDocument(INDEX, "", String.valueOf(exception.getMessage())));
		}
		List<ManifestPart> found = (this.parts != null) ? this.parts : List.of();
		checkParts(found);
		return this.errors.isEmpty() ? Either.right(new ManifestIndex(this.version, Hashes.sha256(bytes), found))
				: Either.left(this.errors.toList());
	}

	private void read(JsonCursor cursor) throws IOException {
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "version" -> this.version = cursor.readInteger(1, Long.MAX_VALUE);
				case "parts" -> this.parts = readParts(cursor);
				default -> cursor.skipUnknownField(field, "version and parts");
			}
		}
		if (this.version == MISSING) {
			cursor.reportError(ManifestErrorMessages.missingField("version"));
		}
		if (this.parts == null) {
			cursor.reportError(ManifestErrorMessages.missingField("parts"));
		}
	}

	private static List<ManifestPart> readParts(JsonCursor cursor) throws IOException {
		List<ManifestPart> parts = new ArrayList<>();
		if (cursor.enterArray()) {
			while (cursor.nextElement()) {
				if (cursor.enterObject()) {
					parts.add(readPart(cursor));
				}
			}
		}
		return parts;
	}

	private static ManifestPart readPart(JsonCursor cursor) throws IOException {
		String name = null;
		String hash = null;
		long size = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "name" -> name = cursor.readText(TextFormat.NAME);
				case "sha256" -> hash = cursor.readText(TextFormat.HASH);
				case "size" -> size = cursor.readInteger(1, ManifestBounds.MAX_DOCUMENT_BYTES);
				default -> cursor.skipUnknownField(field, "name, sha256 and size");
			}
		}
		if (name == null) {
			cursor.reportError(ManifestErrorMessages.missingField("name"));
		}
		if (hash == null) {
			cursor.reportError(ManifestErrorMessages.missingField("sha256"));
		}
		if (size == MISSING) {
			cursor.reportError(ManifestErrorMessages.missingField("size"));
		}
		return new ManifestPart((name != null) ? name : "", (hash != null) ? hash : "", size);
	}

	private void checkParts(List<ManifestPart> found) {
		Set<String> names = new HashSet<>();
		long total = 0;
		for (ManifestPart part : found) {
			if (!part.name().isEmpty() && !names.add(part.name())) {
				this.errors.add(ManifestErrorMessages.duplicate("part", part.name(), INDEX, INDEX));
			}
			total += part.size();
		}
		if (total > ManifestBounds.MAX_TOTAL_BYTES) {
			this.errors.add(ManifestErrorMessages.totalTooLarge(total, ManifestBounds.MAX_TOTAL_BYTES));
		}
	}

}
