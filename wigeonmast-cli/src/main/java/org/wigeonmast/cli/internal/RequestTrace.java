package org.wigeonmast.cli.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wigeonmast.balance.BalanceEvent;

/**
 * Collects what the logs of daemons say about one request, and names its cause.
 * <p>
 * Thread safety: none. Invariant: the number of lines that are kept is bounded.
 */
public final class RequestTrace {

	/** The most lines that are kept of changes in what daemons believe. */
	private static final int MAX_SERVER_EVENTS = 100_000;

	/** The most lines that are kept of one request. */
	private static final int MAX_REQUEST_EVENTS = 1000;

	/** The most beliefs that are shown for a server. */
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
	 * Takes a line of a log.
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
	 * Returns whether no line names the request.
	 * @return whether nothing is known of it
	 */
	public boolean isEmpty() {
		return this.requestEvents.isEmpty();
	}

	/**
	 * Returns how many lines were not log events and were passed over.
	 * @return the number
	 */
	public int malformedLineCount() {
		return this.malformedLineCount;
	}

	/**
	 * Tells the story of the request in the order of time, ending with its cause.
	 * @return the text
	 */
	public String timeline() {
		List<LogLine> ordered = sortByTime(this.requestEvents);
		this.serverEvents.sort(BY_TIME);
		StringBuilder text = new StringBuilder("request " + this.request + "\n");
		for (LogLine step : ordered) {
			text.append(formatLine(step));
			if (isEvent(step, BalanceEvent.SENT)) {
				findServerEventsBefore(step).forEach((belief) -> text.append("    known: ").append(formatLine(belief)));
			}
		}
		return text.append("cause: ").append(Table.replaceControlCharacters(describeCause(ordered))).append('\n').toString();
	}

	private static String formatLine(LogLine line) {
		return Table.replaceControlCharacters(line.time() + "  " + line.daemon() + "  " + line.eventNumber() + "  " + line.message()) + '\n';
	}

	// Returns what daemons had logged about the server of an attempt when it was sent.
	private List<LogLine> findServerEventsBefore(LogLine sent) {
		Matcher matcher = SENT_TO.matcher(sent.message());
		if (!matcher.find()) {
			return List.of();
		}
		String server = "server " + matcher.group(1) + " ";
		List<LogLine> before = this.serverEvents.stream()
			.filter((belief) -> belief.message().contains(server) && belief.time().compareTo(sent.time()) <= 0)
			.toList();
		return before.subList(Math.max(0, before.size() - MAX_SHOWN_SERVER_EVENTS), before.size());
	}

	private String describeCause(List<LogLine> ordered) {
		LogLine last = ordered.getLast();
		if (isEvent(last, BalanceEvent.ANSWERED)) {
			return describeAnswer(last, ordered);
		}
		if (isEvent(last, BalanceEvent.REFUSED)) {
			return "refused, the request was not run: " + last.message();
		}
		if (isEvent(last, BalanceEvent.GIVEN_UP)) {
			return "no answer, the request may have been run: " + last.message() + describeSuspicion(ordered);
		}
		if (isEvent(last, BalanceEvent.CALLER_LEFT)) {
			return "the caller left before its answer: " + last.message();
		}
		return "unknown, the logs end with: " + last.message();
	}

	private String describeAnswer(LogLine last, List<LogLine> ordered) {
		Matcher matcher = ANSWERED_BY.matcher(last.message());
		if (!matcher.find()) {
			return last.message();
		}
		String server = matcher.group(2);
		if (Integer.parseInt(matcher.group(1)) >= SERVER_ERROR) {
			return "server " + server + " ran the request and answered with status " + matcher.group(1)
					+ describeSuspicion(ordered);
		}
		String took = "answered by " + server + " after " + matcher.group(3) + " ms";
		if (ordered.stream().anyMatch((step) -> isEvent(step, BalanceEvent.ATTEMPT_FAILED))) {
			return took + ", because an attempt at another server failed before";
		}
		if (ordered.stream().anyMatch((step) -> isEvent(step, BalanceEvent.SECOND_SEND))) {
			return took + ", because the first server was silent";
		}
		return took + " at the first attempt; a late answer is the server's own time";
	}

	// Tells whether the failure could have been foreseen.
	private String describeSuspicion(List<LogLine> ordered) {
		List<LogLine> sends = ordered.stream().filter((step) -> isEvent(step, BalanceEvent.SENT)).toList();
		if (sends.isEmpty()) {
			return "; no attempt was logged";
		}
		List<LogLine> known = findServerEventsBefore(sends.getLast());
		boolean suspected = !known.isEmpty() && isEvent(known.getLast(), BalanceEvent.SUSPECTED);
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
