package org.wigeonmast.settings.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * The type of a whole number with a unit and a permitted range.
 * <p>
 * Thread safety: immutable. Invariant: the parsed value is in the base unit
 * (milliseconds, bytes, bytes per second or a plain count) and within the range.
 */
final class NumberType implements ValueType<Long> {

	/**
	 * At most twelve digits, since nineteen may exceed a long. The product with the
	 * unit's factor fits into a long for every unit except Gbit/s.
	 */
	private static final Pattern PATTERN = Pattern.compile("([0-9]{1,12})\\s*([A-Za-z/]*)");

	private final Map<String, Long> units;

	private final long min;

	private final long max;

	private NumberType(Map<String, Long> units, long min, long max) {
		this.units = units;
		this.min = min;
		this.max = max;
	}

	static NumberType port() {
		return count(1, 65_535);
	}

	static NumberType count(long min, long max) {
		return new NumberType(Map.of("", 1L), min, max);
	}

	static NumberType duration(long min, long max) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("ms", 1L);
		units.put("s", 1_000L);
		units.put("min", 60_000L);
		units.put("h", 3_600_000L);
		return new NumberType(units, min, max);
	}

	static NumberType size(long min, long max) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("B", 1L);
		units.put("KiB", 1_024L);
		units.put("MiB", 1_048_576L);
		return new NumberType(units, min, max);
	}

	static NumberType rate(long min, long max) {
		Map<String, Long> units = new LinkedHashMap<>();
		units.put("kbit/s", 1_000L / 8);
		units.put("Mbit/s", 1_000_000L / 8);
		units.put("Gbit/s", 1_000_000_000L / 8);
		return new NumberType(units, min, max);
	}

	@Override
	public Either<ValueProblem, Long> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Either.left(SettingsErrorMessages.notANumber(text, this.units.keySet(), range()));
		}
		Long unitFactor = this.units.get(matcher.group(2));
		if (unitFactor == null) {
			return Either.left(SettingsErrorMessages.invalidUnit(text, matcher.group(2), this.units.keySet()));
		}
		long value = Long.parseLong(matcher.group(1)) * unitFactor;
		if (value < this.min || value > this.max) {
			return Either.left(SettingsErrorMessages.outOfRange(text, range()));
		}
		return Either.right(value);
	}

	private String range() {
		return format(this.min) + " to " + format(this.max);
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
