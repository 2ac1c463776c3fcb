package org.wigeonmast.settings.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * A whole number with a unit and a range.
 * <p>
 * Thread safety: immutable. Invariant: the parsed value is in the smallest unit and
 * within the range.
 */
final class NumberType implements ValueType<Long> {

	/** Nineteen digits exceed a long; twelve leave room for every unit. */
	private static final Pattern FORM = Pattern.compile("([0-9]{1,12})\\s*([A-Za-z/]*)");

	private final Map<String, Long> units;

	private final long least;

	private final long greatest;

	private NumberType(Map<String, Long> units, long least, long greatest) {
		this.units = units;
		this.least = least;
		this.greatest = greatest;
	}

	static NumberType port() {
		return count(1, 65_535);
	}

	static NumberType count(long least, long greatest) {
		return new NumberType(Map.of("", 1L), least, greatest);
	}

	static NumberType duration(long least, long greatest) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("ms", 1L);
		units.put("s", 1_000L);
		units.put("min", 60_000L);
		units.put("h", 3_600_000L);
		return new NumberType(units, least, greatest);
	}

	static NumberType size(long least, long greatest) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("B", 1L);
		units.put("KiB", 1_024L);
		units.put("MiB", 1_048_576L);
		return new NumberType(units, least, greatest);
	}

	static NumberType rate(long least, long greatest) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("kbit/s", 1_000L / 8);
		units.put("Mbit/s", 1_000_000L / 8);
		units.put("Gbit/s", 1_000_000_000L / 8);
		return new NumberType(units, least, greatest);
	}

	@Override
	public Either<ValueProblem, Long> parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			return Either.left(SettingsTexts.notANumber(text, this.units.keySet(), range()));
		}
		Long unit = this.units.get(matcher.group(2));
		if (unit == null) {
			return Either.left(SettingsTexts.wrongUnit(text, matcher.group(2), this.units.keySet()));
		}
		long value = Long.parseLong(matcher.group(1)) * unit;
		if (value < this.least || value > this.greatest) {
			return Either.left(SettingsTexts.outOfRange(text, range()));
		}
		return Either.right(value);
	}

	private String range() {
		return format(this.least) + " to " + format(this.greatest);
	}

	private String format(long value) {
		String text = Long.toString(value);
		for (Map.Entry<String, Long> unit : this.units.entrySet()) {
			if (value % unit.getValue() == 0 && (value >= unit.getValue() || unit.getValue() == 1)) {
				text = (value / unit.getValue() + " " + unit.getKey()).strip();
			}
		}
		return text;
	}

}
