package org.wigeonmast.cli.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Text table with aligned columns.
 * <p>
 * Thread safety: none. Invariant: control characters in values are replaced, because a
 * hostile peer could otherwise control the operator's terminal.
 */
public final class Table {

	private static final String COLUMN_SEPARATOR = "  ";

	private final List<String[]> rows = new ArrayList<>();

	/**
	 * Creates a table.
	 * @param headings the headings of the columns
	 */
	public Table(String... headings) {
		this.rows.add(headings);
	}

	/**
	 * Adds a row.
	 * @param values a value for each column
	 */
	public void addRow(Object... values) {
		this.rows.add(Arrays.stream(values)
			.map((value) -> replaceControlCharacters(String.valueOf(value)))
			.toArray(String[]::new));
	}

	/**
	 * Replaces each control character of a text by a question mark.
	 * @param text the text
	 * @return the text without control characters
	 */
	public static String replaceControlCharacters(String text) {
		return text.replaceAll("\\p{Cntrl}", "?");
	}

	@Override
	public String toString() {
		int[] widths = new int[this.rows.getFirst().length];
		for (String[] row : this.rows) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], row[i].length());
			}
		}
		StringBuilder text = new StringBuilder();
		for (String[] row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int i = 0; i < widths.length; i++) {
				line.append(row[i]).append(" ".repeat(widths[i] - row[i].length())).append(COLUMN_SEPARATOR);
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

}
