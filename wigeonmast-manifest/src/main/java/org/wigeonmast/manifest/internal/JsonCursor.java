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
	static final HostAddress NO_ADDRESS = new HostAddress("", 0);

	private static final int GREATEST_NESTING = 8;

	private static final int LONGEST_NUMBER = 40;

	private static final int LONGEST_TEXT = 1_024;

	private static final int LONGEST_FIELD_NAME = 64;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
		.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(GREATEST_NESTING)
			.maxNumberLength(LONGEST_NUMBER)
			.maxStringLength(LONGEST_TEXT)
			.maxNameLength(LONGEST_FIELD_NAME)
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
	void start() throws IOException {
		if (this.parser.nextToken() == null) {
			error(ManifestErrorMessages.EMPTY_DOCUMENT);
		}
	}

	/**
	 * Checks that nothing follows the root value of the document.
	 */
	void end() throws IOException {
		if (this.parser.nextToken() != null) {
			error(ManifestErrorMessages.TRAILING_TEXT);
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
	 * @param form the required format
	 * @return the string, or an empty one after an error
	 */
	String text(TextFormat form) throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_STRING) {
			wrongValue(form.expected());
			return "";
		}
		String text = this.parser.getText();
		if (!form.matches(text)) {
			error(ManifestErrorMessages.invalidValue(text, form.expected()));
			return "";
		}
		return text;
	}

	/**
	 * Reads the address of a host.
	 * @return the address, or {@link #NO_ADDRESS} after an error
	 */
	HostAddress address() throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_STRING) {
			wrongValue(ManifestErrorMessages.ADDRESS_EXPECTED);
			return NO_ADDRESS;
		}
		HostAddress address = Addresses.parse(this.parser.getText());
		if (address == null) {
			error(ManifestErrorMessages.invalidValue(this.parser.getText(), ManifestErrorMessages.ADDRESS_EXPECTED));
			return NO_ADDRESS;
		}
		return address;
	}

	long integer(long least, long greatest) throws IOException {
		if (this.parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
			wrongValue(ManifestErrorMessages.integerExpected(least, greatest));
			return least;
		}
		boolean fits = this.parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
		if (!fits || this.parser.getLongValue() < least || this.parser.getLongValue() > greatest) {
			error(ManifestErrorMessages.invalidValue(this.parser.getText(),
					ManifestErrorMessages.integerExpected(least, greatest)));
			return least;
		}
		return this.parser.getLongValue();
	}

	double share() throws IOException {
		if (!this.parser.currentToken().isNumeric()) {
			wrongValue(ManifestErrorMessages.SHARE_EXPECTED);
			return 0;
		}
		double value = this.parser.getDoubleValue();
		if (!(value >= 0 && value <= 1)) {
			error(ManifestErrorMessages.invalidValue(this.parser.getText(), ManifestErrorMessages.SHARE_EXPECTED));
			return 0;
		}
		return value;
	}

	boolean bool() throws IOException {
		if (!this.parser.currentToken().isBoolean()) {
			wrongValue(ManifestErrorMessages.BOOLEAN_EXPECTED);
			return false;
		}
		return this.parser.getBooleanValue();
	}

	void unknownField(String name, String known) throws IOException {
		error(ManifestErrorMessages.unknownField(name, known));
		this.parser.skipChildren();
	}

	void error(String problem) {
		String pointer = this.parser.getParsingContext().pathAsPointer().toString();
		this.errors.add(ManifestErrorMessages.inDocument(this.document, pointer, problem));
	}

	private boolean enter(JsonToken token, String wanted) throws IOException {
		if (this.parser.currentToken() == token) {
			return true;
		}
		wrongValue(wanted);
		return false;
	}

	private void wrongValue(String wanted) throws IOException {
		error(ManifestErrorMessages.wrongType(wanted));
		this.parser.skipChildren();
	}

}
