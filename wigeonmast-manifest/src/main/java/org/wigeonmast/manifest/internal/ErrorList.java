package org.wigeonmast.manifest.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The list of errors found in a manifest.
 * <p>
 * Thread safety: none. Invariant: at most {@link #MAX_ERRORS} errors are kept; further
 * ones are only counted.
 */
final class ErrorList {

	/**
	 * Maximum number of kept errors, which bounds the memory for a malicious manifest.
	 */
	static final int MAX_ERRORS = 1_000;

	private final List<String> errors = new ArrayList<>();

	private int omitted;

	void add(String error) {
		add(() -> error);
	}

	void add(Supplier<String> error) {
		if (this.errors.size() < MAX_ERRORS) {
			this.errors.add(error.get());
		}
		else {
			this.omitted++;
		}
	}

	boolean isEmpty() {
		return this.errors.isEmpty();
	}

	List<String> toList() {
		List<String> list = new ArrayList<>(this.errors);
		if (this.omitted > 0) {
			list.add(ManifestErrorMessages.omitted(this.omitted));
		}
		return List.copyOf(list);
	}

}
