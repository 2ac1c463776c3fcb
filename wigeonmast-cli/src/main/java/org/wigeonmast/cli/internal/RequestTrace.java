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
	private static final int MOST_BELIEFS = 100_000;

	/** The most lines that are kept of one request. */
	private static final int MOST_STEPS = 1000;

	/** The most beliefs that are shown for a server. */
	private static final int SHOWN_BELIEFS = 3;

	private static final Pattern SENT_TO = Pattern.compile("sent to (\\S+) of (\\S+):");

	private static final Pattern STATUS = Pattern.compile("answered (\\d+) by (\\S+) after (\\d+) ms");

	private static final int SERVER_ERROR = 500;

	private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time);

	private final String request;

	private final List<LogLine> steps = new ArrayList<>();

	private final List<LogLine> beliefs = new ArrayList<>();

	private int malformed;

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
	public void add(String text, String source) {
		LogLine line = LogLine.parse(text, source);
		if (line == null) {
			this.malformed += text.isBlank() ? 0 : 1;
		}
		else if (line.request().equals(this.request) && this.steps.size() < MOST_STEPS) {
			this.steps.add(line);
		}
		else if (isBelief(line) && this.beliefs.size() < MOST_BELIEFS) {
			this.beliefs.add(line);
		}
	}

	/**
	 * Returns whether no line names the request.
	 * @return whether nothing is known of it
	 */
	public boolean isEmpty() {
		return this.steps.isEmpty();
	}

	/**
	 * Returns how many lines were not log events and were passed over.
	 * @return the number
	 */
	public int malformed() {
		return this.malformed;
	}

	/**
	 * Tells the story of the request in the order of time, ending with its cause.
	 * @return the text
	 */
	public String story() {
		List<LogLine> ordered = ordered(this.steps);
		this.beliefs.sort(BY_TIME);
		StringBuilder text = new StringBuilder("request " + this.request + "\n");
		for (LogLine step : ordered) {
			text.append(line(step));
			if (is(step, BalanceEvent.SENT)) {
				known(step).forEach((belief) -> text.append("    known: ").append(line(belief)));
			}
		}
		return text.append("cause: ").append(Table.clean(cause(ordered))).append('\n').toString();
	}

	private static String line(LogLine line) {
		return Table.clean(line.time() + "  " + line.daemon() + "  " + line.number() + "  " + line.message()) + '\n';
	}

	// Returns what daemons had logged about the server of an attempt when it was sent.
	private List<LogLine> known(LogLine sent) {
		Matcher matcher = SENT_TO.matcher(sent.message());
		if (!matcher.find()) {
			return List.of();
		}
		String server = "server " + matcher.group(1) + " ";
		List<LogLine> before = this.beliefs.stream()
			.filter((belief) -> belief.message().contains(server) && belief.time().compareTo(sent.time()) <= 0)
			.toList();
		return before.subList(Math.max(0, before.size() - SHOWN_BELIEFS), before.size());
	}

	private String cause(List<LogLine> ordered) {
		LogLine last = ordered.getLast();
		if (is(last, BalanceEvent.ANSWERED)) {
			return answered(last, ordered);
		}
		if (is(last, BalanceEvent.REFUSED)) {
			return "refused, the request was not run: " + last.message();
		}
		if (is(last, BalanceEvent.GIVEN_UP)) {
			return "no answer, the request may have been run: " + last.message() + suspectedBefore(ordered);
		}
		if (is(last, BalanceEvent.CALLER_LEFT)) {
			return "the caller left before its answer: " + last.message();
		}
		return "unknown, the logs end with: " + last.message();
	}

	private String answered(LogLine last, List<LogLine> ordered) {
		Matcher matcher = STATUS.matcher(last.message());
		if (!matcher.find()) {
			return last.message();
		}
		String server = matcher.group(2);
		if (Integer.parseInt(matcher.group(1)) >= SERVER_ERROR) {
			return "server " + server + " ran the request and answered with status " + matcher.group(1)
					+ suspectedBefore(ordered);
		}
		String took = "answered by " + server + " after " + matcher.group(3) + " ms";
		if (ordered.stream().anyMatch((step) -> is(step, BalanceEvent.ATTEMPT_FAILED))) {
			return took + ", because an attempt at another server failed before";
		}
		if (ordered.stream().anyMatch((step) -> is(step, BalanceEvent.SECOND_SEND))) {
			return took + ", because the first server was silent";
		}
		return took + " at the first attempt; a late answer is the server's own time";
	}

	// Tells whether the failure could have been foreseen.
	private String suspectedBefore(List<LogLine> ordered) {
		List<LogLine> sends = ordered.stream().filter((step) -> is(step, BalanceEvent.SENT)).toList();
		if (sends.isEmpty()) {
			return "; no attempt was logged";
		}
		List<LogLine> known = known(sends.getLast());
		boolean suspected = !known.isEmpty() && is(known.getLast(), BalanceEvent.SUSPECTED);
		return suspected ? "; the server was suspected before" : "; the server was not suspected before";
	}

	private static boolean isBelief(LogLine line) {
		return is(line, BalanceEvent.SUSPECTED) || is(line, BalanceEvent.TRUSTED)
				|| is(line, BalanceEvent.SERVER_LEAVING) || is(line, BalanceEvent.SERVER_GONE)
				|| is(line, BalanceEvent.SERVER_MISMATCH) || is(line, BalanceEvent.RECORD_LAPSED);
	}

	private static boolean is(LogLine line, BalanceEvent event) {
		return line.number() == event.number();
	}

	private static List<LogLine> ordered(List<LogLine> lines) {
		return lines.stream().sorted(BY_TIME).toList();
	}

}
