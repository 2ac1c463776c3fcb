package org.wigeonmast.manifest.internal;

import java.net.InetAddress;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * The forms of the texts in a manifest.
 * <p>
 * Thread safety: stateless.
 */
final class TextForms {

	static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	static final Pattern CALLER = Pattern.compile("[!-~]{1,128}");

	static final Pattern DOMAIN = Pattern.compile(NAME + "/" + NAME);

	static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{1,20}");

	static final Pattern WORK_CLASS = Pattern.compile("short|long");

	static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

	static final Pattern ADDRESS = Pattern
		.compile("([0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}|\\[[0-9A-Fa-f:.]{2,45}\\]):[1-9][0-9]{0,4}");

	/** Visible ASCII without the characters that begin a query or a fragment. */
	static final Pattern PATH = Pattern
		.compile("(?=.{1,512}$)(/|(/(?!\\.{1,2}(/|$))[!-~&&[^/?#\\\\]]{1,512}+){1,32}+)");

	private static final int GREATEST_PORT = 65_535;

	private TextForms() {
	}

	static FailureDomain domain(String text) {
		int slash = text.indexOf('/');
		return new FailureDomain(new Region(text.substring(0, slash)), text.substring(slash + 1));
	}

	/**
	 * Parses an address of the form {@link #ADDRESS}.
	 * @param text the text
	 * @return the address, or {@code null} if it cannot be the address of one host
	 */
	static @Nullable HostAddress address(String text) {
		int colon = text.lastIndexOf(':');
		String host = (text.charAt(0) == '[') ? text.substring(1, colon - 1) : text.substring(0, colon);
		int port = Integer.parseInt(text.substring(colon + 1));
		try {
			InetAddress address = InetAddress.ofLiteral(host);
			boolean one = !address.isAnyLocalAddress() && !address.isMulticastAddress();
			return (one && port <= GREATEST_PORT) ? new HostAddress(address.getHostAddress(), port) : null;
		}
		catch (IllegalArgumentException exception) {
			return null;
		}
	}

}
