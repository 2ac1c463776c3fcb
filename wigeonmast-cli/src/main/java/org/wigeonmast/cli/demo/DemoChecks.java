package org.wigeonmast.cli.demo;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.wigeonmast.cli.demo.DemoRequest.Result;

/**
 * Checks the guarantees against what the backend servers ran, and prints the results.
 * <p>
 * Thread safety: none; one thread uses it.
 */
final class DemoChecks {

	private static final int MAX_EXAMPLES = 3;

	private final PrintStream out;

	private boolean allPassed = true;

	DemoChecks(PrintStream out) {
		this.out = out;
	}

	boolean allPassed() {
		return this.allPassed;
	}

	/**
	 * Records whether something held.
	 * @param held whether it did
	 * @param what what was checked
	 */
	void check(boolean held, String what) {
		this.out.println((held ? "  held    " : "  BROKEN  ") + what);
		this.allPassed &= held;
	}

	/**
	 * Checks the requests against the runs of the backend servers.
	 * @param sent the number of requests that were sent
	 * @param calls the requests that ended
	 * @param runs how often the backend servers ran each request
	 */
	void checkRequests(int sent, List<DemoRequest> calls, Map<String, Integer> runs) {
		check(calls.size() == sent, "every request ended: " + calls.size() + " of " + sent);
		check(count(calls, Result.FOREIGN) == 0, "every answer was complete and belonged to its request");
		check(count(calls, Result.BROKEN) == 0, "no connection broke, also during the planned stop");
		List<String> falseRefusals = calls.stream()
			.filter((call) -> call.result() == Result.NOT_RUN && runs.getOrDefault(call.id(), 0) > 0)
			.map(DemoRequest::id)
			.toList();
		check(falseRefusals.isEmpty(), "no request that was refused as not run had run " + falseRefusals);
		List<String> repeated = calls.stream()
			.filter((call) -> !call.idempotent() && runs.getOrDefault(call.id(), 0) > 1)
			.map(DemoRequest::id)
			.toList();
		check(repeated.isEmpty(), "no non-idempotent request ran twice " + repeated);
	}

	/**
	 * Prints how the requests of a time ended.
	 * @param phase the name of the time
	 * @param calls the requests that were sent in it
	 */
	void printSummary(String phase, List<DemoRequest> calls) {
		Map<Result, Integer> counts = new TreeMap<>();
		calls.forEach((call) -> counts.merge(call.result(), 1, Integer::sum));
		List<Long> durations = calls.stream()
			.filter((call) -> call.result() == Result.ANSWERED)
			.map(DemoRequest::durationMs)
			.sorted()
			.toList();
		String latency = durations.isEmpty() ? "" : ", p50 " + durations.get(durations.size() / 2) + " ms, p99 "
				+ durations.get(durations.size() * 99 / 100) + " ms";
		this.out.println("  " + phase + ": " + calls.size() + " requests " + counts + latency);
		Set<String> shown = new HashSet<>();
		calls.stream()
			.filter((call) -> call.result() != Result.ANSWERED && call.result() != Result.FAILED)
			.sorted(Comparator.comparing(DemoRequest::sentMs))
			.filter((call) -> shown.size() < MAX_EXAMPLES && shown.add(call.result() + call.detail()))
			.forEach((call) -> this.out.println("    " + call.id() + " " + call.result() + ": " + call.detail()));
	}

	private static long count(List<DemoRequest> calls, Result result) {
		return calls.stream().filter((call) -> call.result() == result).count();
	}

}
