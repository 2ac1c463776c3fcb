package org.wigeonmast.health;

import java.util.List;
import java.util.Map;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;

/**
 * An explanation of the state of a backend server, from the view of one daemon.
 * <p>
 * Thread safety: immutable. Invariant: {@link #text()} fits on a screen of 24 lines.
 *
 * @param server the backend server
 * @param viewpoint the daemon that gives the explanation
 * @param facts named values, in a stable order
 * @param history the latest decisions about the server, oldest first
 */
public record Explanation(BackendServerId server, DaemonId viewpoint, Map<String, String> facts,
		List<AuditEntry> history) {

	private static final int MAX_LINES = 24;

	/**
	 * Formats the explanation for an operator.
	 * @return the text, at most 24 lines
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		text.append(this.server).append(" as seen by ").append(this.viewpoint);
		int lines = 1;
		for (Map.Entry<String, String> fact : this.facts.entrySet()) {
			text.append("\n  ").append(fact.getKey()).append(": ").append(fact.getValue());
			lines++;
		}
		int remainingLines = Math.max(0, MAX_LINES - lines);
		List<AuditEntry> latest = this.history.subList(Math.max(0, this.history.size() - remainingLines),
				this.history.size());
		for (AuditEntry entry : latest) {
			text.append("\n  ")
				.append(entry.time())
				.append(" ms ")
				.append(entry.kind())
				.append(' ')
				.append(entry.evidence());
		}
		return text.toString();
	}

}
