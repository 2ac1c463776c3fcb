package org.wigeonmast.health.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.health.ServerHealth.State;

/**
 * State machine of the health of one backend server, with the times of its next
 * transitions.
 * <p>
 * Thread safety: none. Invariant: the weight is 0 while the server is ejected, leaving or
 * dead, and increases from {@link #INITIAL_RAMP_WEIGHT} to 1 while it is ramping.
 */
public final class ServerStateMachine {

	/** Weight of a server that is avoided or on trial. */
	public static final double LAST_CHOICE_WEIGHT = 0.05;

	/** Weight at the start of a ramp. */
	public static final double INITIAL_RAMP_WEIGHT = 0.2;

	/** Duration of a ramp in milliseconds. */
	public static final long RAMP_MS = 10_000;

	/**
	 * Duration of the first ejection in milliseconds; it doubles with each consecutive
	 * ejection.
	 */
	public static final long FIRST_EJECTION_MS = 10_000;

	/** Maximum duration of an ejection in milliseconds. */
	public static final long MAX_EJECTION_MS = 600_000;

	/** Time in service in milliseconds after which earlier ejections no longer count. */
	public static final long EJECTION_RESET_MS = 600_000;

	/**
	 * Number of steps to which weights are rounded, so that a ramp causes few updates.
	 */
	private static final double WEIGHT_STEPS = 10;

	private static final int HISTORY_SIZE = 8;

	/** Number of answers that a server needs to pass a trial. */
	private static final int TRIAL_ANSWERS = 5;

	private final BackendServerId server;

	private final Deque<AuditEntry> history = new ArrayDeque<>();

	private State state = State.SERVING;

	private long stateSince;

	private long stateEndsAt;

	private int consecutiveEjections;

	private boolean coldStart;

	private SuspicionEvidence latestEvidence = SuspicionEvidence.NONE;

	private @Nullable Integer permit;

	private long lastDenialReportAt = Long.MIN_VALUE / 2;

	private int trialAnswers;

	private long nextProbeAt;

	/**
	 * Creates the state machine of a server in service.
	 * @param server the server
	 */
	public ServerStateMachine(BackendServerId server) {
		this.server = server;
	}

	/**
	 * Enters a state.
	 * @param now the current monotonic time in milliseconds
	 * @param newState the new state
	 */
	public void enterState(long now, State newState) {
		if (this.state == State.SERVING && now - this.stateSince >= EJECTION_RESET_MS) {
			this.consecutiveEjections = 0;
		}
		this.state = newState;
		this.stateSince = now;
		this.coldStart &= newState == State.RAMPING;
	}

	/**
	 * Starts an avoidance, which counts as an ejection. The avoidance and the ejection
	 * that may follow have one common end; it is later with each consecutive avoidance.
	 * @param now the current monotonic time in milliseconds
	 * @param evidence the evidence
	 */
	public void startAvoidance(long now, SuspicionEvidence evidence) {
		enterState(now, State.AVOIDED);
		this.latestEvidence = evidence;
		this.consecutiveEjections++;
		this.stateEndsAt = now + ejectionDuration();
	}

	/**
	 * Starts a ramp.
	 * @param now the current monotonic time in milliseconds
	 * @param coldStart whether the server may be slow because it has just started
	 */
	public void startRamp(long now, boolean coldStart) {
		enterState(now, State.RAMPING);
		this.coldStart = coldStart;
		this.stateEndsAt = now + RAMP_MS;
	}

	/**
	 * Starts a trial.
	 * @param now the current monotonic time in milliseconds
	 * @param probeAfter the time in milliseconds after which a probe is sent if no work
	 * is answered
	 */
	public void startTrial(long now, long probeAfter) {
		enterState(now, State.TRIAL);
		this.trialAnswers = 0;
		this.nextProbeAt = now + probeAfter;
	}

	private long ejectionDuration() {
		int doublings = Math.min(Math.max(0, this.consecutiveEjections - 1), 10);
		return Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << doublings);
	}

	/**
	 * Returns the health of the server for dispatch.
	 * @param now the current monotonic time in milliseconds
	 * @return the state and weight of the server
	 */
	public ServerHealth health(long now) {
		double weight = switch (this.state) {
			case SERVING -> 1;
			case AVOIDED, TRIAL -> LAST_CHOICE_WEIGHT;
			case RAMPING -> rampWeight(now);
			case EJECTED, LEAVING, DEAD -> 0;
		};
		return new ServerHealth(this.server, this.state, weight);
	}

	private double rampWeight(long now) {
		double share = Math.min(1, (double) (now - this.stateSince) / RAMP_MS);
		double weight = INITIAL_RAMP_WEIGHT + (1 - INITIAL_RAMP_WEIGHT) * share;
		return Math.round(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
	}

	/**
	 * Adds an entry to the history, which keeps only the latest entries.
	 * @param entry the entry
	 */
	public void addToHistory(AuditEntry entry) {
		if (this.history.size() == HISTORY_SIZE) {
			this.history.removeFirst();
		}
		this.history.addLast(entry);
	}

	/**
	 * Returns the state and its causes for an explanation.
	 * @param now the current monotonic time in milliseconds
	 * @return named values, in a stable order
	 */
	public Map<String, String> facts(long now) {
		Map<String, String> facts = AuditEntries.values("state", this.state, "for", (now - this.stateSince) + " ms");
		if (this.state == State.EJECTED || this.state == State.AVOIDED || this.state == State.TRIAL) {
			facts.put("evidence", this.latestEvidence.summary());
			facts.put("permit", (this.permit != null) ? this.permit.toString() : "none");
			facts.put("ejections in a row", Integer.toString(this.consecutiveEjections));
			facts.put("tried again in", Math.max(0, this.stateEndsAt - now) + " ms");
		}
		return facts;
	}

	/**
	 * Returns the server.
	 * @return the server
	 */
	public BackendServerId server() {
		return this.server;
	}

	/**
	 * Returns the state.
	 * @return the state
	 */
	public State state() {
		return this.state;
	}

	/**
	 * Returns whether the duration of the avoidance, the ejection or the ramp has
	 * elapsed.
	 * @param now the current monotonic time in milliseconds
	 * @return {@code true} if it has elapsed
	 */
	public boolean hasElapsed(long now) {
		return now >= this.stateEndsAt;
	}

	/**
	 * Returns whether slow work is expected because of a cold start.
	 * @return {@code true} during the ramp after a cold start
	 */
	public boolean isColdStart() {
		return this.coldStart;
	}

	/**
	 * Returns the evidence for the latest avoidance or ejection.
	 * @return the evidence, {@link SuspicionEvidence#NONE} if there was none
	 */
	public SuspicionEvidence latestEvidence() {
		return this.latestEvidence;
	}

	/**
	 * Returns the number of consecutive ejections, without a long time in service between
	 * them.
	 * @return the number of ejections
	 */
	public int consecutiveEjections() {
		return this.consecutiveEjections;
	}

	/**
	 * Sets the permit.
	 * @param permit the permit, or {@code null} for none
	 */
	public void setPermit(@Nullable Integer permit) {
		this.permit = permit;
	}

	/**
	 * Records a denied ejection and decides whether to report it.
	 * @param now the current monotonic time in milliseconds
	 * @param interval the minimum time in milliseconds between two reports
	 * @return whether to report this denial
	 */
	public boolean shouldReportDenial(long now, long interval) {
		boolean report = now - this.lastDenialReportAt >= interval;
		if (report) {
			this.lastDenialReportAt = now;
		}
		return report;
	}

	/**
	 * Records an answer during a trial.
	 * @param now the current monotonic time in milliseconds
	 */
	public void recordTrialAnswer(long now) {
		this.trialAnswers++;
		if (this.trialAnswers == TRIAL_ANSWERS) {
			this.stateEndsAt = now + 2 * OutlierDetector.REORDERING_WINDOW_MS;
		}
	}

	/**
	 * Returns whether the trial has had enough answers and the detector has applied all
	 * of them.
	 * @param now the current monotonic time in milliseconds
	 * @return {@code true} if the trial is passed
	 */
	public boolean isTrialPassed(long now) {
		return this.trialAnswers >= TRIAL_ANSWERS && now >= this.stateEndsAt;
	}

	/**
	 * Delays the next probe.
	 * @param time the earliest monotonic time in milliseconds for the next probe
	 */
	public void delayProbe(long time) {
		this.nextProbeAt = time;
	}

	/**
	 * Returns whether a probe is due and, if it is, schedules the next one.
	 * @param now the current monotonic time in milliseconds
	 * @param period the time between probes in milliseconds
	 * @return whether to send one
	 */
	public boolean pollProbe(long now, long period) {
		boolean due = now >= this.nextProbeAt;
		if (due) {
			this.nextProbeAt = now + period;
		}
		return due;
	}

	/**
	 * Returns the latest audit entries.
	 * @return the entries, oldest first
	 */
	public List<AuditEntry> history() {
		return List.copyOf(this.history);
	}

}
