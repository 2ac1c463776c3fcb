package org.wigeonmast.cli.internal;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Line of a daemon's log.
 * <p>
 * Thread safety: immutable.
 *
 * @param time the time in ISO 8601 format, whose text order is the order of time
 * @param daemon the name of the daemon, from the label in front of the line or the name
 * of the log
 * @param eventNumber the number of the event
 * @param request the identifier of the request concerned, empty if there is none
 * @param message the text of the event
 */
public record LogLine(String time, String daemon, int eventNumber, String request, String message) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses a line. Log collectors may put a label before the JSON object; its last word
	 * is the name of the daemon.
	 * @param text the line
	 * @param source the name of the log, used as the daemon's name if the line has no
	 * label
	 * @return the line, or {@code null} if it is not a log event
	 */
	public static @Nullable LogLine parse(String text, String source) {
		int start = text.indexOf('{');
		if (start < 0) {
			return null;
		}
		try {
			JsonNode root = MAPPER.readTree(text.substring(start));
			JsonNode entry = root.path("entry");
			if (!root.path("time").isTextual() || !entry.path("event").isInt() || !entry.path("name").isTextual()) {
				return null;
			}
			String label = text.substring(0, start).strip();
			String daemon = label.isEmpty() ? source : label.substring(label.lastIndexOf(' ') + 1);
			return new LogLine(root.path("time").asText(), daemon, entry.path("event").asInt(),
					entry.path("request").asText(""), entry.path("message").asText(""));
		}
		catch (IOException exception) {
			// Not an error: the caller counts the lines that are not log events.
			return null;
		}
	}

}
