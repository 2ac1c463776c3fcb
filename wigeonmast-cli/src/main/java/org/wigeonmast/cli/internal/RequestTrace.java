package org.wigeonmast.cli.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wigeonmast.balance.BalanceEvent;

/**
 * Timeline of one request from the logs of daemons, with the cause of its outcome.
 * <p>
 * Thread safety: none. Invariant: the number of stored lines is bounded.
 */
public final class RequestTrace {

	/** Maximum number of stored lines about changes of a server's state. */
	private static final int MAX_SERVER_EVENTS = 100_000;

	/** Maximum number of stored lines about the request. */
	private static final int MAX_REQUEST_EVENTS = 1000;

	/** Maximum number of server events that are shown for an attempt. */
	private static final int MAX_SHOWN_SERVER_EVENTS = 3;

	private static final Pattern SENT_TO = Pattern.compile("sent to (\\S+) of (\\S+):");

	private static final Pattern ANSWERED_BY = Pattern.compile("answered (\\d+) by (\\S+) after (\\d+) ms");

	private static final int SERVER_ERROR = 500;

	private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time);

	private final String request;

	private final List<LogLine> requestEvents = new ArrayList<>();

	private final List<LogLine> serverEvents = new ArrayList<>();

	private int malformedLineCount;

	/**
	 * Creates a trace without lines.
	 * @param request the identifier of the request
	 */
	public RequestTrace(String request) {
		this.request = request;
	}

	/**
	 * Adds a line of a log. Lines about other requests are ignored.
	 * @param text the line
	 * @param source the name of the log
	 */
	public void addLine(String text, String source) {
		LogLine line = LogLine.parse(text, source);
		if (line == null) {
			this.malformedLineCount += text.isBlank() ? 0 : 1;
		}
		else if (line.request().equals(this.request) && this.requestEvents.size() < MAX_REQUEST_EVENTS) {
			this.requestEvents.add(line);
		}
		else if (isServerEvent(line) && this.serverEvents.size() < MAX_SERVER_EVENTS) {
			this.serverEvents.add(line);
		}
	}

	/**
	 * Returns whether no line was about the request.
	 * @return whether the timeline is empty
	 */
	public boolean isEmpty() {
		return this.requestEvents.isEmpty();
	}

	/**
	 * Returns the number of lines that were skipped because they are not log events.
	 * @return the number of lines, without blank ones
	 */
	public int malformedLineCount() {
		return this.malformedLineCount;
	}

	/**
	 * Returns the events of the request in order of time, followed by the cause of its
	 * outcome. Each attempt is followed by what the logs say about its server up to then.
	 * @return the text
	 */
	public String timeline() {
		List<LogLine> sorted = sortByTime(this.requestEvents);
		this.serverEvents.sort(BY_TIME);
		StringBuilder text = new StringBuilder("request " + this.request + "\n");
		for (LogLine event : sorted) {
			text.append(formatLine(event));
			if (isEvent(event, BalanceEvent.SENT)) {
				findServerEventsBefore(event)
					.forEach((earlier) -> text.append("    known: ").append(formatLine(earlier)));
			}
		}
		return text.append("cause: ")
			.append(Table.replaceControlCharacters(describeCause(sorted)))
			.append('\n')
			.toString();
	}

	private static String formatLine(LogLine line) {
		return Table.replaceControlCharacters(
				line.time() + "  " + line.daemon() + "  " + line.eventNumber() + "  " + line.message()) + '\n';
	}

	// Returns the last events about the server of an attempt before it was sent.
	private List<LogLine> findServerEventsBefore(LogLine sent) {
		Matcher matcher = SENT_TO.matcher(sent.message());
		if (!matcher.find()) {
			return List.of();
		}
		String server = "server " + matcher.group(1) + " ";
		List<LogLine> earlierEvents = this.serverEvents.stream()
			.filter((event) -> event.message().contains(server) && event.time().compareTo(sent.time()) <= 0)
			.toList();
		return earlierEvents.subList(Math.max(0, earlierEvents.size() - MAX_SHOWN_SERVER_EVENTS), earlierEvents.size());
	}

	private String describeCause(List<LogLine> sorted) {
		LogLine last = sorted.getLast();
		if (isEvent(last, BalanceEvent.ANSWERED)) {
			return describeAnswer(last, sorted);
		}
		if (isEvent(last, BalanceEvent.REFUSED)) {
			return "refused, the request was not run: " + last.message();
		}
		if (isEvent(last, BalanceEvent.GIVEN_UP)) {
			return "no answer, the request may have been run: " + last.message() + describeSuspicion(sorted);
		}
		if (isEvent(last, BalanceEvent.CALLER_LEFT)) {
			return "the caller left before its answer: " + last.message();
		}
		return "unknown, the logs end with: " + last.message();
	}

	private String describeAnswer(LogLine last, List<LogLine> sorted) {
		Matcher matcher = ANSWERED_BY.matcher(last.message());
		if (!matcher.find()) {
			return last.message();
		}
		String server = matcher.group(2);
		if (Integer.parseInt(matcher.group(1)) >= SERVER_ERROR) {
			return "server " + server + " ran the request and answered with status " + matcher.group(1)
					+ describeSuspicion(sorted);
		}
		String answer = "answered by " + server + " after " + matcher.group(3) + " ms";
		if (sorted.stream().anyMatch((event) -> isEvent(event, BalanceEvent.ATTEMPT_FAILED))) {
			return answer + ", because an attempt at another server failed before";
		}
		if (sorted.stream().anyMatch((event) -> isEvent(event, BalanceEvent.SECOND_SEND))) {
			return answer + ", because the first server was silent";
		}
		return answer + " at the first attempt; a late answer is the server's own time";
	}

	// Describes whether the server was suspected when the last attempt was sent.
	private String describeSuspicion(List<LogLine> sorted) {
		List<LogLine> sentEvents = sorted.stream().filter((event) -> isEvent(event, BalanceEvent.SENT)).toList();
		if (sentEvents.isEmpty()) {
			return "; no attempt was logged";
		}
		List<LogLine> earlierEvents = findServerEventsBefore(sentEvents.getLast());
		boolean suspected = !earlierEvents.isEmpty() && isEvent(earlierEvents.getLast(), BalanceEvent.SUSPECTED);
		return suspected ? "; the server was suspected before" : "; the server was not suspected before";
	}

	private static boolean isServerEvent(LogLine line) {
		return isEvent(line, BalanceEvent.SUSPECTED) || isEvent(line, BalanceEvent.TRUSTED)
				|| isEvent(line, BalanceEvent.SERVER_LEAVING) || isEvent(line, BalanceEvent.SERVER_GONE)
				|| isEvent(line, BalanceEvent.SERVER_MISMATCH) || isEvent(line, BalanceEvent.RECORD_LAPSED);
	}

	private static boolean isEvent(LogLine line, BalanceEvent event) {
		return line.eventNumber() == event.number();
	}

	private static List<LogLine> sortByTime(List<LogLine> lines) {
		return lines.stream().sorted(BY_TIME).toList();
	}

}
