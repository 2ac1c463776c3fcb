package org.wigeonmast.proxy.internal;

import io.netty.buffer.ByteBuf;

/**
 * Detector of a response within a body that ends with its connection. Such a body has no
 * other end, so a response that the server sends behind it looks like a part of it; only
 * the request identifier in its head tells that it is none.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: the result does not depend
 * on how the body is split into parts; nothing of the body is kept.
 */
final class EmbeddedAnswerDetector {

	/** Start of a response, in which each digit stands for any digit. */
	private static final String STATUS_LINE_START = "HTTP/1.1 200";

	/** Length of the part of it that is unlikely to end a body. */
	private static final int VERSION_LENGTH = "HTTP/1.".length();

	/** Maximum size of the head of a response. */
	private static final int MAX_HEAD_BYTES = 16 * 1024;

	/** Value of {@link #matchedName} if the line is not the field with the identifier. */
	private static final int NO_MATCH = -1;

	private final String identifierField;

	private int matchedStart;

	private boolean inHead;

	private int headBytes;

	private int lineBytes;

	private int matchedName;

	private boolean lineMayBeInHead;

	private boolean found;

	/**
	 * Creates a detector at the start of a body.
	 * @param identifierField the name of the header field in which a response names its
	 * request
	 */
	EmbeddedAnswerDetector(String identifierField) {
		this.identifierField = identifierField;
	}

	/**
	 * Examines the next part of the body.
	 * @param part the part, which is left as it is
	 * @return whether a response with a request identifier has begun in the body
	 */
	boolean examine(ByteBuf part) {
		int end = part.writerIndex();
		for (int index = part.readerIndex(); index < end && !this.found; index++) {
			if (!this.inHead && this.matchedStart == 0) {
				index = part.indexOf(index, end, (byte) STATUS_LINE_START.charAt(0));
				if (index < 0) {
					break;
				}
			}
			examine(part.getByte(index));
		}
		return this.found;
	}

	/**
	 * Returns whether the body may end within a further response, as far as it can be
	 * told before the identifier has arrived.
	 * @return whether the last bytes are the start of a response without the end of its
	 * head
	 */
	boolean endsWithinHead() {
		return this.inHead || this.matchedStart >= VERSION_LENGTH;
	}

	private void examine(byte next) {
		if (this.inHead) {
			examineHead(next);
		}
		examineStart(next);
	}

	private void examineStart(byte next) {
		char expected = STATUS_LINE_START.charAt(this.matchedStart);
		boolean matches = (Character.isDigit(expected) && this.matchedStart >= VERSION_LENGTH)
				? next >= '0' && next <= '9' : next == expected;
		if (matches) {
			this.matchedStart++;
		}
		else {
			this.matchedStart = (next == STATUS_LINE_START.charAt(0)) ? 1 : 0;
		}
		if (this.matchedStart == STATUS_LINE_START.length()) {
			this.matchedStart = 0;
			this.inHead = true;
			this.headBytes = 0;
			this.lineBytes = STATUS_LINE_START.length();
			this.lineMayBeInHead = true;
			this.matchedName = NO_MATCH;
		}
	}

	private void examineHead(byte next) {
		this.headBytes++;
		if (next == '\n') {
			this.inHead = this.lineBytes > 0 && this.headBytes < MAX_HEAD_BYTES && this.lineMayBeInHead;
			this.lineMayBeInHead = false;
			this.lineBytes = 0;
			this.matchedName = 0;
		}
		else if (next != '\r') {
			this.lineBytes++;
			this.lineMayBeInHead |= next == ':';
			examineName(next);
		}
	}

	private void examineName(byte next) {
		if (this.matchedName == this.identifierField.length()) {
			// The decoder of responses accepts white space before the colon too.
			this.found = next == ':';
			this.matchedName = (next == ' ' || next == '\t') ? this.matchedName : NO_MATCH;
		}
		else if (this.matchedName != NO_MATCH) {
			boolean matches = Character.toLowerCase((char) next) == Character
				.toLowerCase(this.identifierField.charAt(this.matchedName));
			this.matchedName = matches ? this.matchedName + 1 : NO_MATCH;
		}
	}

}
