package org.wigeonmast.manifest.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * The messages for errors in manifests and host lists.
 * <p>
 * Thread safety: stateless.
 */
public final class ManifestErrorMessages {

	static final String EMPTY_DOCUMENT = "the document is empty; publish a JSON object";

	static final String TRAILING_TEXT = "text follows the end of the document; publish one JSON object";

	static final String OBJECT_EXPECTED = "an object";

	static final String ARRAY_EXPECTED = "an array";

	static final String BOOLEAN_EXPECTED = "true or false";

	static final String SHARE_EXPECTED = "a number from 0 to 1";

	static final String NAME_EXPECTED = "a name of 1 to 63 letters, digits, dots, hyphens and underscores";

	static final String CALLER_EXPECTED = "an identifier of 1 to 128 visible ASCII characters";

	static final String DOMAIN_EXPECTED = "a region and a failure domain, such as addis/a";

	static final String ADDRESS_EXPECTED = "the IP address and port of one host, such as 10.0.0.5:8080 or [fd00::5]:8080";

	static final String METHOD_EXPECTED = "an HTTP method in capitals or *";

	static final String PATH_EXPECTED = "a path such as /rota/boards, of at most 512 characters and 32 segments, "
			+ "without query, empty or dot segments and without a slash at the end";

	static final String CLASS_EXPECTED = "short or long";

	static final String HASH_EXPECTED = "a SHA-256 in 64 lower-case hexadecimal digits";

	static final String ROLE_EXPECTED = "entry or backend";

	static final String STATE_EXPECTED = "live or leaving";

	static final String HOST_FIELDS_REQUIRED = "a host needs the fields role, address and state";

	static final String NO_DAEMONS = "no failure domain has daemons; list the failure domains with the greatest "
			+ "number of daemons in each";

	static final String NO_SERVICES = "there is no service; list the services";

	/** Maximum number of characters of an invalid value that a message quotes. */
	private static final int MAX_QUOTE_LENGTH = 160;

	private ManifestErrorMessages() {
	}

	static String inDocument(String document, String pointer, String problem) {
		return document + (pointer.isEmpty() ? "" : " " + sanitize(pointer)) + ": " + problem;
	}

	static String syntaxError(String document, JsonProcessingException exception) {
		JsonLocation location = exception.getLocation();
		String place = (location != null) ? " at line " + location.getLineNr() + ", column " + location.getColumnNr()
				: "";
		return document + ": invalid JSON" + place + ": " + sanitize(String.valueOf(exception.getOriginalMessage()));
	}

	static String wrongType(String expected) {
		return "expected " + expected;
	}

	static String invalidValue(String text, String expected) {
		return quote(text) + " is not allowed; expected " + expected;
	}

	static String integerExpected(long min, long max) {
		return "a whole number from " + min + " to " + max;
	}

	static String unknownField(String name, String known) {
		return "the field " + quote(name) + " is unknown; the fields are " + known;
	}

	static String missingField(String name) {
		return "the field '" + name + "' is missing";
	}

	static String omitted(int count) {
		return count + " further errors are not listed";
	}

	static String documentTooLarge(String document, long maxBytes) {
		return document + ": larger than the store's limit of " + maxBytes + " bytes; split it into parts";
	}

	static String totalTooLarge(long size, long maxBytes) {
		return "index: the parts have " + size + " bytes, more than " + maxBytes + "; publish fewer or shorter entries";
	}

	static String partMissing(String part, String hash) {
		return part + ": no bytes for hash " + hash + "; publish the part before the index";
	}

	static String partSizeMismatch(String part, long stated, long found) {
		return part + ": has " + found + " bytes, but the index states " + stated + "; publish the index again";
	}

	static String partHashMismatch(String part, String stated) {
		return part + ": the bytes do not have the SHA-256 " + stated + "; publish the part again under its hash";
	}

	static String duplicate(String kind, String name, String first, String second) {
		return second + ": the " + kind + " " + quote(name) + " is also in " + first + "; keep one of them";
	}

	static String floorAboveServerCount(String part, String service, int floor, int servers) {
		return part + ": the floor of service " + quote(service) + " is " + floor + ", but it has " + servers
				+ " backend servers; lower the floor or add servers";
	}

	static String noServers(String part, String service) {
		return part + ": service " + quote(service) + " has no backend servers; add one or remove the service";
	}

	static String tooFewConnections(String part, String server, int connections, int slots) {
		return part + ": backend server " + quote(server) + " has " + connections + " connections for " + slots
				+ " slots; each slot needs a connection";
	}

	static String unknownDomain(String part, String server, String domain) {
		return part + ": backend server " + quote(server) + " is in the unknown failure domain " + quote(domain)
				+ "; add it to the domains, with 0 daemons if none runs there";
	}

	static String unknownService(String part, String method, String path, String service) {
		return part + ": the route " + method + " " + quote(path) + " leads to the unknown service " + quote(service)
				+ "; add the service or remove the route";
	}

	static String noLongShare(String part, String method, String path, String service) {
		return part + ": the route " + method + " " + quote(path) + " has the class long, but the longShare of service "
				+ quote(service) + " is 0; raise it or use the class short";
	}

	private static String quote(String text) {
		return "'" + sanitize(text) + "'";
	}

	private static String sanitize(String text) {
		String shown = (text.length() > MAX_QUOTE_LENGTH) ? text.substring(0, MAX_QUOTE_LENGTH) + "..." : text;
		return shown.replaceAll("\\p{Cntrl}", "?");
	}

}
