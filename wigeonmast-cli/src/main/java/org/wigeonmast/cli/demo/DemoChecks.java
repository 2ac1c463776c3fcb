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
 * Checks of the guarantees against the requests that the backend servers ran. The results
 * are printed.
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
	 * Records and prints the result of a check.
	 * @param passed whether the condition was met
	 * @param condition the description of the condition
	 */
	void check(boolean passed, String condition) {
		this.out.println((passed ? "  held    " : "  BROKEN  ") + condition);
		this.allPassed &= passed;
	}

	/**
	 * Checks the requests against the runs of the backend servers.
	 * @param sent the number of requests that were sent
	 * @param requests the completed requests
	 * @param runCounts the number of runs by the identifier of the request
	 */
	void checkRequests(int sent, List<DemoRequest> requests, Map<String, Integer> runCounts) {
		check(requests.size() == sent, "every request ended: " + requests.size() + " of " + sent);
		check(count(requests, Result.FOREIGN) == 0, "every answer was complete and belonged to its request");
		check(count(requests, Result.BROKEN) == 0, "no connection broke, also during the planned stop");
		List<String> falseRefusals = requests.stream()
			.filter((request) -> request.result() == Result.NOT_RUN && runCounts.getOrDefault(request.id(), 0) > 0)
			.map(DemoRequest::id)
			.toList();
		check(falseRefusals.isEmpty(), "no request that was refused as not run had run " + falseRefusals);
		List<String> repeated = requests.stream()
			.filter((request) -> !request.idempotent() && runCounts.getOrDefault(request.id(), 0) > 1)
			.map(DemoRequest::id)
			.toList();
		check(repeated.isEmpty(), "no non-idempotent request ran twice " + repeated);
	}

	/**
	 * Prints the results and latencies of the requests of a phase.
	 * @param phase the name of the phase
	 * @param requests the requests that were sent in the phase
	 */
	void printSummary(String phase, List<DemoRequest> requests) {
		Map<Result, Integer> counts = new TreeMap<>();
		requests.forEach((request) -> counts.merge(request.result(), 1, Integer::sum));
		List<Long> durations = requests.stream()
			.filter((request) -> request.result() == Result.ANSWERED)
			.map(DemoRequest::durationMs)
			.sorted()
			.toList();
		String latency = durations.isEmpty() ? "" : ", p50 " + durations.get(durations.size() / 2) + " ms, p99 "
				+ durations.get(durations.size() * 99 / 100) + " ms";
		this.out.println("  " + phase + ": " + requests.size() + " requests " + counts + latency);
		Set<String> printed = new HashSet<>();
		requests.stream()
			.filter((request) -> request.result() != Result.ANSWERED && request.result() != Result.FAILED)
			.sorted(Comparator.comparing(DemoRequest::sentAtMs))
			.filter((request) -> printed.size() < MAX_EXAMPLES && printed.add(request.result() + request.detail()))
			.forEach((request) -> this.out
				.println("    " + request.id() + " " + request.result() + ": " + request.detail()));
	}

	private static long count(List<DemoRequest> requests, Result result) {
		return requests.stream().filter((request) -> request.result() == result).count();
	}

}
