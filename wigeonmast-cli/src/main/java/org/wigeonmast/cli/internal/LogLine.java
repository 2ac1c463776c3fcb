package org.wigeonmast.cli.internal;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * A line of a daemon's log.
 * <p>
 * Thread safety: immutable.
 *
 * @param time the time of day, which sorts as text
 * @param daemon the daemon, as the log was labelled
 * @param eventNumber the number of the event
 * @param request the identifier of the request concerned, empty if there is none
 * @param message the inputs of the decision and the outcome
 */
public record LogLine(String time, String daemon, int eventNumber, String request, String message) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Reads a line. Text before the JSON object, as log collectors add it, is skipped;
	 * its last word names the daemon.
	 * @param text the line
	 * @param source the name of the log, which names the daemon if the line does not
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
			// The caller counts lines that are not log events.
			return null;
		}
	}

}
