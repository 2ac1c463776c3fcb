package org.wigeonmast.settings.internal;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.wigeonmast.core.HostAddress;

/**
 * The type of a comma-separated list of addresses with ports.
 * <p>
 * Thread safety: immutable. Invariant: no address occurs twice.
 */
final class HostListType implements ValueType<List<HostAddress>> {

	private static final NumberType PORT = NumberType.port();

	private static final AddressType ADDRESS = new AddressType(false);

	@Override
	public Either<ValueProblem, List<HostAddress>> parse(String text) {
		List<HostAddress> hosts = new ArrayList<>();
		if (text.isEmpty()) {
			return Either.right(hosts);
		}
		for (String item : text.split(",", -1)) {
			Either<ValueProblem, HostAddress> host = parseHost(item.strip());
			if (host.isLeft()) {
				return Either.left(host.getLeft());
			}
			if (hosts.contains(host.get())) {
				return Either.left(SettingsErrorMessages.duplicateEntry(item.strip()));
			}
			hosts.add(host.get());
		}
		return Either.right(hosts);
	}

	private static Either<ValueProblem, HostAddress> parseHost(String item) {
		int colon = item.lastIndexOf(':');
		if (colon <= 0) {
			return Either.left(SettingsErrorMessages.notAHostAddress(item));
		}
		String address = item.substring(0, colon);
		boolean bracketed = address.startsWith("[") && address.endsWith("]") && address.length() > 2;
		if (!bracketed && address.indexOf(':') >= 0) {
			return Either.left(SettingsErrorMessages.notAHostAddress(item));
		}
		String literal = bracketed ? address.substring(1, address.length() - 1) : address;
		return ADDRESS.parse(literal)
			.flatMap((parsed) -> PORT.parse(item.substring(colon + 1))
				.map((port) -> new HostAddress(parsed, port.intValue())));
	}

}
