package org.wigeonmast.verification.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;

/**
 * Checks the guarantees from what servers ran and what callers were told.
 * <p>
 * Thread safety: none. Invariant: it uses no state of the components; ejections and
 * versions are what a daemon shows to the outside.
 */
final class FleetOracle {

	/** Time in milliseconds after the deadline within which a request ends. */
	static final long END_BOUND = 1500;

	/** Time in milliseconds after which a leaving server gets no new work. */
	static final long LEAVING_BOUND = 3000;

	private final Map<RequestId, Fate> fates = new HashMap<>();

	private final Map<DaemonId, Long> versions = new HashMap<>();

	private final Map<String, Long> leavingKnown = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	/**
	 * Records that a daemon accepted a request.
	 * @param request the request
	 * @param daemon the daemon
	 * @param idempotent whether it may run twice
	 * @param deadline the deadline in milliseconds
	 */
	void accepted(RequestId request, DaemonId daemon, boolean idempotent, long deadline) {
		this.fates.put(request, new Fate(daemon, idempotent, deadline));
	}

	void ran(RequestId request, String server) {
		Fate fate = fate(request);
		fate.runs++;
		if (fate.runs > 1 && !fate.idempotent) {
			violation(request + " is not idempotent and ran " + fate.runs + " times, last at " + server);
		}
		if (fate.outcome instanceof RequestOutcome.NotRun) {
			violation(request + " was told not run and ran later at " + server);
		}
	}

	void told(long now, RequestId request, RequestOutcome outcome) {
		Fate fate = fate(request);
		if (fate.outcome != null) {
			violation(request + " ended twice: " + fate.outcome + " and " + outcome);
		}
		if (outcome instanceof RequestOutcome.NotRun && fate.runs > 0) {
			violation(request + " was told not run after it ran");
		}
		if (outcome instanceof RequestOutcome.Answered(int status) && status < 500 && fate.runs == 0) {
			violation(request + " was answered and never ran");
		}
		if (now > fate.deadline + END_BOUND) {
			violation(request + " ended " + (now - fate.deadline) + " ms after its deadline");
		}
		fate.outcome = outcome;
	}

	@Nullable RequestOutcome outcome(RequestId request) {
		return fate(request).outcome;
	}

	int runs(RequestId request) {
		return fate(request).runs;
	}

	/**
	 * Extends the deadlines of open requests by a pause of their daemon.
	 * @param daemon the daemon
	 * @param now the time in milliseconds at the end of the pause
	 */
	void resumed(DaemonId daemon, long now) {
		this.fates.values()
			.stream()
			.filter((fate) -> fate.daemon.equals(daemon) && fate.outcome == null)
			.forEach((fate) -> fate.deadline = Math.max(fate.deadline, now));
	}

	void crashed(DaemonId daemon) {
		this.fates.values()
			.stream()
			.filter((fate) -> fate.daemon.equals(daemon) && fate.outcome == null)
			.forEach((fate) -> fate.outcome = new RequestOutcome.Unknown("the daemon crashed"));
	}

	void stopped(DaemonId daemon) {
		this.fates.forEach((request, fate) -> {
			if (fate.daemon.equals(daemon) && fate.outcome == null) {
				violation(request + " was cut by a planned stop");
			}
		});
	}

	long open(DaemonId daemon) {
		return this.fates.values()
			.stream()
			.filter((fate) -> fate.daemon.equals(daemon) && fate.outcome == null)
			.count();
	}

	/**
	 * Checks what daemons show at one time.
	 * @param ejected the ejections that each live daemon follows
	 * @param permitted the number of servers above the floor
	 */
	void ejections(Map<DaemonId, Set<String>> ejected, int permitted) {
		Set<String> union = new HashSet<>();
		ejected.values().forEach(union::addAll);
		if (union.size() > permitted) {
			violation("capacity is below the floor: " + union + " are ejected, permitted are " + permitted);
		}
	}

	void version(DaemonId daemon, long version) {
		Long before = this.versions.put(daemon, version);
		if (before != null && before > version) {
			violation(daemon + " went back from version " + before + " to " + version);
		}
	}

	void leavingSeen(long now, DaemonId daemon, String server) {
		this.leavingKnown.putIfAbsent(daemon + " " + server, now);
	}

	void attempt(long now, DaemonId daemon, String server) {
		Long known = this.leavingKnown.get(daemon + " " + server);
		if (known != null && now > known + LEAVING_BOUND) {
			violation(daemon + " sent new work to leaving " + server + " " + (now - known) + " ms after it knew");
		}
	}

	void violation(String text) {
		if (!this.violations.contains(text)) {
			this.violations.add(text);
		}
	}

	/**
	 * Ends the run: requests whose time has passed have to have ended.
	 * @param now the time in milliseconds
	 * @return all violations
	 */
	List<String> finish(long now) {
		this.fates.forEach((request, fate) -> {
			if (fate.outcome == null && now > fate.deadline + END_BOUND) {
				violation(request + " never ended");
			}
		});
		return this.violations;
	}

	List<String> violations() {
		return this.violations;
	}

	private Fate fate(RequestId request) {
		Fate fate = this.fates.get(request);
		if (fate == null) {
			throw new IllegalStateException("Unknown request " + request);
		}
		return fate;
	}

	private static final class Fate {

		private final DaemonId daemon;

		private final boolean idempotent;

		private long deadline;

		private int runs;

		private @Nullable RequestOutcome outcome;

		private Fate(DaemonId daemon, boolean idempotent, long deadline) {
			this.daemon = daemon;
			this.idempotent = idempotent;
			this.deadline = deadline;
		}

	}

}
