package org.wigeonmast.manifest.internal;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The content of a valid manifest with the parts from which it was built.
 * <p>
 * Thread safety: immutable.
 *
 * @param content the content
 * @param parts the parts in the order of the index
 * @param partsByHash the parts by the SHA-256 of their bytes
 */
public record CheckedManifest(ManifestContent content, List<ParsedPart> parts, Map<String, ParsedPart> partsByHash) {

	/**
	 * Returns the part with the given hash and name.
	 * @param hash the SHA-256 of the bytes
	 * @param name the name
	 * @return the part, or {@code null} if there is none
	 */
	@Nullable ParsedPart findPart(String hash, String name) {
		ParsedPart part = this.partsByHash.get(hash);
		return (part != null && part.name().equals(name)) ? part : null;
	}

	/**
	 * Returns whether the parts with entries of one kind are the same here and in another
	 * list.
	 * @param otherParts the other parts
	 * @param kind the predicate for parts with entries of the kind
	 * @return whether they are the same objects in the same order
	 */
	boolean hasSameParts(List<ParsedPart> otherParts, Predicate<ParsedPart> kind) {
		List<ParsedPart> first = this.parts.stream().filter(kind).toList();
		List<ParsedPart> second = otherParts.stream().filter(kind).toList();
		if (first.size() != second.size()) {
			return false;
		}
		for (int i = 0; i < first.size(); i++) {
			if (first.get(i) != second.get(i)) {
				return false;
			}
		}
		return true;
	}

}
