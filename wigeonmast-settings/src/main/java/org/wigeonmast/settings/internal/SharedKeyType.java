package org.wigeonmast.settings.internal;

import java.util.Base64;

import io.vavr.control.Either;
import org.wigeonmast.core.SharedKey;

/**
 * The type of a shared key in Base64.
 * <p>
 * Thread safety: immutable. Invariant: no error message contains the text of the key.
 */
final class SharedKeyType implements ValueType<SharedKey> {

	@Override
	public Either<ValueProblem, SharedKey> parse(String text) {
		try {
			byte[] bytes = Base64.getDecoder().decode(text);
			return (bytes.length >= SharedKey.MIN_LENGTH_BYTES) ? Either.right(new SharedKey(bytes))
					: Either.left(SettingsErrorMessages.keyTooShort(bytes.length));
		}
		catch (IllegalArgumentException exception) {
			return Either.left(SettingsErrorMessages.notBase64());
		}
	}

}
