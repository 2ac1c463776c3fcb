package org.wigeonmast.settings.internal;

import java.net.InetAddress;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * The type of an IP address in its usual text form.
 * <p>
 * Thread safety: immutable. Invariant: no host name is resolved.
 */
final class AddressType implements ValueType<String> {

	private final boolean anyLocalAllowed;

	AddressType(boolean anyLocalAllowed) {
		this.anyLocalAllowed = anyLocalAllowed;
	}

	@Override
	public Either<ValueProblem, String> parse(String text) {
		InetAddress address = parseLiteral(text);
		if (address == null) {
			return Either.left(SettingsErrorMessages.notAnAddress(text));
		}
		if (address.isMulticastAddress()) {
			return Either.left(SettingsErrorMessages.multicastAddress(text));
		}
		if (address.isAnyLocalAddress() && !this.anyLocalAllowed) {
			return Either.left(SettingsErrorMessages.anyAddress(text));
		}
		return Either.right(text);
	}

	/**
	 * Parses an IP address literal.
	 * @param text the text
	 * @return the address, or {@code null} if the text is not an IP address in its usual
	 * form
	 */
	static @Nullable InetAddress parseLiteral(String text) {
		try {
			InetAddress address = InetAddress.ofLiteral(text);
			// InetAddress.ofLiteral also accepts 127.1 and 2130706433, which hide the
			// address meant.
			boolean shortForm = text.indexOf(':') < 0 && !address.getHostAddress().equals(text);
			return (shortForm || text.indexOf('%') >= 0 || text.indexOf('[') >= 0) ? null : address;
		}
		catch (IllegalArgumentException exception) {
			return null;
		}
	}

}
