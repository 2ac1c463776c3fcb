package org.wigeonmast.manifest.internal;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;

/**
 * A streaming reader for one JSON document, which collects errors in the values.
 * <p>
 * Thread safety: none. Invariants: an invalid value is skipped as a whole and reading
 * continues after it; only a syntax error ends the document. Memory use does not depend
 * on the size of the document.
 */
final class JsonCursor implements AutoCloseable {

	/** Substitute for an invalid address. */
	static final HostAddress INVALID_ADDRESS = new HostAddress("", 0);

	private static final int MAX_NESTING_DEPTH = 8;

	private static final int MAX_NUMBER_LENGTH = 40;

	private static final int MAX_STRING_LENGTH = 1_024;

	private static final int MAX_FIELD_NAME_LENGTH = 64;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
		.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(MAX_NESTING_DEPTH)
			.maxNumberLength(MAX_NUMBER_LENGTH)
			.maxStringLength(MAX_STRING_LENGTH)
			.maxNameLength(MAX_FIELD_NAME_LENGTH)
			.build())
		.build();

	private final String document;

	private final ErrorList errors;

	private final JsonParser parser;

	JsonCursor(String document, byte[] bytes, ErrorList errors) throws IOException {
		this.document = document;
		this.errors = errors;
		this.parser = FACTORY.createParser(bytes);
	}

	@Override
	public void close() throws IOException {
		this.parser.close();
	}

	/**
	 * Moves to the root value of the document.
	 */
	void moveToRoot() throws IOException {
		if (this.parser.nextToken() == null) {
			reportError(ManifestErrorMessages.EMPTY_DOCUMENT);
		}
	}

	/**
	 * Checks that nothing follows the root value of the document.
	 */
	void checkEnd() throws IOException {
		if (this.parser.nextToken() != null) {
			reportError(ManifestErrorMessages.TRAILING_TEXT);
		}
	}

	/**
	 * Enters the object at the current position.
	 * @return whether the value is an object; otherwise it was reported and skipped
	 */
	boolean enterObject() throws IOException {
		return enter(JsonToken.START_OBJECT, ManifestErrorMessages.OBJECT_EXPECTED);
	}

	/**
	 * Moves to the next field of an object.
	 * @return the name of the field, or {@code null} at the end of the object
	 */
	@Nullable String nextField() throws IOException {
		String name = this.parser.nextFieldName();
		if (name != null) {
			this.parser.nextToken();
		}
		return name;
	}

	/**
	 * Enters the array at the current position.
	 * @return whether the value is an array; otherwise it was reported and skipped
	 */
	boolean enterArray() throws IOException {
		return enter(JsonToken.START_ARRAY, ManifestErrorMessages.ARRAY_EXPECTED);
	}

	/**
	 * Moves to the next element of an array.
	 * @return whether there is one
	 */
	boolean nextElement() throws IOException {
		return this.parser.nextToken() != JsonToken.END_ARRAY;
	}

	/**
	 * Reads a string.
	 * @param format the required format
	 * @return the string, or an empty one after an error
	 */
	String readText(TextFormat format) throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_STRING) {
			skipInvalidValue(format.expected());
			return "";
		}
		String text = this.parser.getText();
		if (!format.matches(text)) {
			reportError(ManifestErrorMessages.invalidValue(text, format.expected()));
			return "";
		}
		return text;
	}

	/**
	 * Reads the address of a host.
	 * @return the address, or {@link #INVALID_ADDRESS} after an error
	 */
	HostAddress readAddress() throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_STRING) {
			skipInvalidValue(ManifestErrorMessages.ADDRESS_EXPECTED);
			return INVALID_ADDRESS;
		}
		HostAddress address = AddressParser.parse(this.parser.getText());
		if (address == null) {
			reportError(
					ManifestErrorMessages.invalidValue(this.parser.getText(), ManifestErrorMessages.ADDRESS_EXPECTED));
			return INVALID_ADDRESS;
		}
		return address;
	}

	long readInteger(long min, long max) throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
			skipInvalidValue(ManifestErrorMessages.integerExpected(min, max));
			return min;
		}
		boolean fits = this.parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
		if (!fits || this.parser.getLongValue() < min || this.parser.getLongValue() > max) {
			reportError(ManifestErrorMessages.invalidValue(this.parser.getText(),
					ManifestErrorMessages.integerExpected(min, max)));
			return min;
		}
		return this.parser.getLongValue();
	}

	double readShare() throws IOException {
		if (!this.parser.currentToken().isNumeric()) {
			skipInvalidValue(ManifestErrorMessages.SHARE_EXPECTED);
			return 0;
		}
		double value = this.parser.getDoubleValue();
		if (!(value >= 0 && value <= 1)) {
			reportError(
					ManifestErrorMessages.invalidValue(this.parser.getText(), ManifestErrorMessages.SHARE_EXPECTED));
			return 0;
		}
		return value;
	}

	boolean readBoolean() throws IOException {
		if (!this.parser.currentToken().isBoolean()) {
			skipInvalidValue(ManifestErrorMessages.BOOLEAN_EXPECTED);
			return false;
		}
		return this.parser.getBooleanValue();
	}

	void skipUnknownField(String name, String known) throws IOException {
		reportError(ManifestErrorMessages.unknownField(name, known));
		this.parser.skipChildren();
	}

	void reportError(String problem) {
		String pointer = this.parser.getParsingContext().pathAsPointer().toString();
		this.errors.add(ManifestErrorMessages.inDocument(this.document, pointer, problem));
	}

	private boolean enter(JsonToken token, String expected) throws IOException {
		if (this.parser.currentToken() == token) {
			return true;
		}
		skipInvalidValue(expected);
		return false;
	}

	private void skipInvalidValue(String expected) throws IOException {
		reportError(ManifestErrorMessages.wrongType(expected));
		this.parser.skipChildren();
	}

}
