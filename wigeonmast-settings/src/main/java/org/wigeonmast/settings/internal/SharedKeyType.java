package org.wigeonmast.settings.internal;

import java.util.Base64;

import io.vavr.control.Either;
import org.wigeonmast.core.SharedKey;

/**
 * A key in Base64.
 * <p>
 * Thread safety: immutable. Invariant: no problem repeats the key's text.
 */
final class SharedKeyType implements ValueType<SharedKey> {

	@Override
	public Either<ValueProblem, SharedKey> parse(String text) {
		try {
			byte[] bytes = Base64.getDecoder().decode(text);
			return (bytes.length >= SharedKey.MIN_LENGTH_BYTES) ? Either.right(new SharedKey(bytes))
					: Either.left(SettingsTexts.shortKey(bytes.length));
		}
		catch (IllegalArgumentException exception) {
			return Either.left(SettingsTexts.notBase64());
		}
	}

}
