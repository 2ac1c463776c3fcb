package org.wigeonmast.manifest.internal;

/**
 * The format of a string in a manifest or host list.
 * <p>
 * Thread safety: immutable. Matching reads each character at most twice and avoids
 * regular expressions, which took most of the time of reading a manifest of the design
 * size.
 */
enum TextFormat {

	/** A name of a service, a backend server or a part. */
	NAME(ManifestErrorMessages.NAME_EXPECTED) {
		@Override
		boolean matches(String text) {
			return isName(text, 0, text.length());
		}
	},

	/** An identifier of a caller. */
	CALLER(ManifestErrorMessages.CALLER_EXPECTED) {
		@Override
		boolean matches(String text) {
			return !text.isEmpty() && text.length() <= MAX_CALLER_LENGTH && isVisible(text);
		}
	},

	/** A region and a failure domain. */
	DOMAIN(ManifestErrorMessages.DOMAIN_EXPECTED) {
		@Override
		boolean matches(String text) {
			int slash = text.indexOf('/');
			return slash > 0 && isName(text, 0, slash) && isName(text, slash + 1, text.length());
		}
	},

	/** An HTTP method, or {@code *} for any method. */
	METHOD(ManifestErrorMessages.METHOD_EXPECTED) {
		@Override
		boolean matches(String text) {
			boolean capitals = text.chars().allMatch((character) -> character >= 'A' && character <= 'Z');
			return text.equals("*") || (capitals && !text.isEmpty() && text.length() <= MAX_METHOD_LENGTH);
		}
	},

	/** A path prefix. */
	PATH(ManifestErrorMessages.PATH_EXPECTED) {
		@Override
		boolean matches(String text) {
			return isPath(text);
		}
	},

	/** A work class. */
	WORK_CLASS(ManifestErrorMessages.CLASS_EXPECTED) {
		@Override
		boolean matches(String text) {
			return text.equals("short") || text.equals("long");
		}
	},

	/** A SHA-256 in hexadecimal. */
	HASH(ManifestErrorMessages.HASH_EXPECTED) {
		@Override
		boolean matches(String text) {
			return text.length() == HASH_LENGTH && text.chars()
				.allMatch((character) -> (character >= '0' && character <= '9')
						|| (character >= 'a' && character <= 'f'));
		}
	},

	/** The role of a host. */
	ROLE(ManifestErrorMessages.ROLE_EXPECTED) {
		@Override
		boolean matches(String text) {
			return text.equals("entry") || text.equals("backend");
		}
	},

	/** The state of a host. */
	STATE(ManifestErrorMessages.STATE_EXPECTED) {
		@Override
		boolean matches(String text) {
			return text.equals("live") || text.equals("leaving");
		}
	};

	private static final int MAX_NAME_LENGTH = 63;

	private static final int MAX_CALLER_LENGTH = 128;

	private static final int MAX_METHOD_LENGTH = 20;

	private static final int MAX_PATH_LENGTH = 512;

	private static final int MAX_PATH_SEGMENTS = 32;

	private static final int HASH_LENGTH = 64;

	/**
	 * Characters that start a query or a fragment, or that some servers treat as a slash.
	 */
	private static final String FORBIDDEN_PATH_CHARACTERS = "?#\\";

	private final String expected;

	TextFormat(String expected) {
		this.expected = expected;
	}

	/**
	 * Returns whether a string has this format.
	 * @param text the string
	 * @return whether it matches
	 */
	abstract boolean matches(String text);

	/**
	 * Returns a description of the format.
	 * @return the description, for error messages
	 */
	String expected() {
		return this.expected;
	}

	private static boolean isName(String text, int start, int end) {
		if (end <= start || end - start > MAX_NAME_LENGTH || !isAlphanumeric(text.charAt(start))) {
			return false;
		}
		for (int i = start + 1; i < end; i++) {
			char character = text.charAt(i);
			if (!isAlphanumeric(character) && character != '.' && character != '_' && character != '-') {
				return false;
			}
		}
		return true;
	}

	private static boolean isAlphanumeric(char character) {
		return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
				|| (character >= 'A' && character <= 'Z');
	}

	private static boolean isVisible(String text) {
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) < '!' || text.charAt(i) > '~') {
				return false;
			}
		}
		return true;
	}

	private static boolean isPath(String text) {
		if (text.isEmpty() || text.charAt(0) != '/' || text.length() > MAX_PATH_LENGTH || !isVisible(text)) {
			return false;
		}
		int segments = 0;
		int start = 1;
		for (int i = 1; i <= text.length() && text.length() > 1; i++) {
			if (i == text.length() || text.charAt(i) == '/') {
				if (!isSegment(text, start, i)) {
					return false;
				}
				segments++;
				start = i + 1;
			}
			else if (FORBIDDEN_PATH_CHARACTERS.indexOf(text.charAt(i)) >= 0) {
				return false;
			}
		}
		return segments <= MAX_PATH_SEGMENTS;
	}

	private static boolean isSegment(String text, int start, int end) {
		int length = end - start;
		boolean dots = length <= 2 && text.startsWith("..".substring(0, length), start);
		return length > 0 && !dots;
	}

}
