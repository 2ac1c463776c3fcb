package org.wigeonmast.daemon.log;

import java.time.Instant;
import java.util.Map;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.spi.AbstractLogger;
import org.jspecify.annotations.Nullable;

/**
 * Logger that writes each event as a JSON object on one line.
 * <p>
 * Thread safety: usable from any thread.
 */
final class JsonLogger extends AbstractLogger {

	private static final long serialVersionUID = 1;

	private static final Level LEVEL = Level.toLevel(System.getProperty("wigeonmast.log.level"), Level.INFO);

	private final transient LineQueue lines;

	JsonLogger(String name, LineQueue lines) {
		super(name);
		this.lines = lines;
	}

	@Override
	public void logMessage(String fqcn, Level level, @Nullable Marker marker, Message message,
			@Nullable Throwable thrown) {
		StringBuilder line = new StringBuilder(256);
		line.append("{\"time\":\"").append(Instant.now()).append("\",\"level\":\"").append(level);
		line.append("\",\"logger\":\"").append(getName()).append("\",\"thread\":");
		appendQuoted(line, Thread.currentThread().getName());
		line.append(",\"entry\":");
		if (message instanceof MapMessage<?, ?> map) {
			appendEntries(line, map.getData());
		}
		else {
			appendEntries(line, Map.of("message", message.getFormattedMessage()));
		}
		if (thrown != null) {
			line.append(",\"exception\":");
			appendQuoted(line, thrown.toString());
		}
		this.lines.add(line.append('}').toString());
	}

	private static void appendEntries(StringBuilder line, Map<String, ?> entries) {
		char separator = '{';
		for (Map.Entry<String, ?> entry : entries.entrySet()) {
			line.append(separator);
			appendQuoted(line, entry.getKey());
			line.append(':');
			if (entry.getValue() instanceof Number number) {
				line.append(number);
			}
			else {
				appendQuoted(line, String.valueOf(entry.getValue()));
			}
			separator = ',';
		}
		line.append('}');
	}

	private static void appendQuoted(StringBuilder line, String text) {
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(text, line);
		line.append('"');
	}

	@Override
	public Level getLevel() {
		return LEVEL;
	}

	private static boolean isLevelEnabled(Level level) {
		return LEVEL.intLevel() >= level.intLevel();
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable Message message,
			@Nullable Throwable thrown) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable CharSequence message,
			@Nullable Throwable thrown) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable Object message,
			@Nullable Throwable thrown) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message,
			@Nullable Throwable thrown) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, Object... parameters) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4, @Nullable Object p5) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4, @Nullable Object p5,
			@Nullable Object p6) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4, @Nullable Object p5,
			@Nullable Object p6, @Nullable Object p7) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4, @Nullable Object p5,
			@Nullable Object p6, @Nullable Object p7, @Nullable Object p8) {
		return isLevelEnabled(level);
	}

	@Override
	public boolean isEnabled(Level level, @Nullable Marker marker, @Nullable String message, @Nullable Object p0,
			@Nullable Object p1, @Nullable Object p2, @Nullable Object p3, @Nullable Object p4, @Nullable Object p5,
			@Nullable Object p6, @Nullable Object p7, @Nullable Object p8, @Nullable Object p9) {
		return isLevelEnabled(level);
	}

}
