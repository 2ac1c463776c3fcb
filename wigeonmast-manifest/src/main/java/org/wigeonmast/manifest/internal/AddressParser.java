package org.wigeonmast.manifest.internal;

import java.net.InetAddress;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;

/**
 * A parser for host addresses that does not resolve names.
 * <p>
 * Thread safety: stateless.
 */
final class AddressParser {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_PORT_DIGITS = 5;

	private static final int IPV4_OCTETS = 4;

	private static final int MAX_OCTET_DIGITS = 3;

	private AddressParser() {
	}

	/**
	 * Parses an address.
	 * @param text an address and port, such as 10.0.0.5:8080 or [fd00::5]:8080
	 * @return the address, or {@code null} if it cannot be the address of one host
	 */
	static @Nullable HostAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		int port = (colon > 0) ? parsePort(text, colon + 1) : 0;
		if (port == 0) {
			return null;
		}
		boolean bracketed = text.charAt(0) == '[' && text.charAt(colon - 1) == ']';
		String host = bracketed ? text.substring(1, colon - 1) : text.substring(0, colon);
		boolean validSyntax = bracketed ? host.indexOf(':') >= 0 && host.indexOf('%') < 0 : isDottedQuad(host);
		try {
			InetAddress address = validSyntax ? InetAddress.ofLiteral(host) : null;
			return (address != null && !address.isAnyLocalAddress() && !address.isMulticastAddress())
					? new HostAddress(address.getHostAddress(), port) : null;
		}
		catch (IllegalArgumentException exception) {
			return null;
		}
	}

	private static int parsePort(String text, int start) {
		int port = 0;
		int length = text.length() - start;
		if (length == 0 || length > MAX_PORT_DIGITS || text.charAt(start) == '0') {
			return 0;
		}
		for (int i = start; i < text.length(); i++) {
			int digit = text.charAt(i) - '0';
			if (digit < 0 || digit > 9) {
				return 0;
			}
			port = port * 10 + digit;
		}
		return (port <= MAX_PORT) ? port : 0;
	}

	private static boolean isDottedQuad(String host) {
		// InetAddress.ofLiteral also accepts shorthand such as 10.1 for 10.0.0.1, which
		// obscures the address.
		int octets = 1;
		int digits = 0;
		for (int i = 0; i < host.length(); i++) {
			char character = host.charAt(i);
			if (character == '.') {
				octets++;
				digits = 0;
			}
			else if (character < '0' || character > '9' || ++digits > MAX_OCTET_DIGITS) {
				return false;
			}
		}
		return octets == IPV4_OCTETS;
	}

}
