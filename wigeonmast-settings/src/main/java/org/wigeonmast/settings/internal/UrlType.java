package org.wigeonmast.settings.internal;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Set;

import io.vavr.control.Either;

/**
 * The type of an HTTP base URL without user, query and fragment.
 * <p>
 * Thread safety: immutable. Invariant: the parsed URL does not end with a slash.
 */
final class UrlType implements ValueType<URI> {

	private static final Set<String> SCHEMES = Set.of("http", "https");

	@Override
	public Either<ValueProblem, URI> parse(String text) {
		try {
			URI uri = new URI(text.endsWith("/") ? text.substring(0, text.length() - 1) : text);
			boolean hasValidOrigin = uri.getScheme() != null && SCHEMES.contains(uri.getScheme())
					&& uri.getHost() != null && uri.getPort() <= 65_535;
			boolean isBaseOnly = uri.getQuery() == null && uri.getFragment() == null && uri.getUserInfo() == null;
			return (hasValidOrigin && isBaseOnly) ? Either.right(uri)
					: Either.left(SettingsErrorMessages.notAUrl(text));
		}
		catch (URISyntaxException exception) {
			return Either.left(SettingsErrorMessages.notAUrl(text));
		}
	}

}
