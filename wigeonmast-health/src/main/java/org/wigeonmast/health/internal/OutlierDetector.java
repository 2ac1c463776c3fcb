package org.wigeonmast.health.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.Observation;
import org.wigeonmast.manifest.WorkClass;

/**
 * Detector of outliers among the backend servers of one service and region, which
 * compares each server with its peers.
 * <p>
 * For each server and class of work it keeps cumulative sums of log-likelihood ratios
 * (CUSUM): for slowness from the rank of each duration among those of the peers, for
 * failures from the error rate of the peers. Only the part of a sum above the sums of the
 * peers counts, so a change that affects most servers alike is no evidence. The time that
 * a request waited behind others at its server is left out, because the requests that
 * wait behind one long request are not independent evidence.
 * <p>
 * Thread safety: none. Invariant: results are applied in the order of their end times, so
 * the order of arrival within {@link #REORDERING_WINDOW_MS} does not matter.
 */
public final class OutlierDetector {

	/** Minimum strength of evidence at which a server is considered unhealthy. */
	public static final double THRESHOLD = 18;

	/**
	 * Time in milliseconds for which results are held back until earlier ones have
	 * arrived.
	 */
	public static final long REORDERING_WINDOW_MS = 100;

	/**
	 * Share of the threshold above which the work of a server is excluded from the
	 * comparison.
	 */
	private static final double EXCLUSION_SHARE = 0.5;

	/**
	 * Cumulative sum that, if most servers exceed it at the same time, indicates a change
	 * which affects all of them.
	 */
	private static final double COMMON_CHANGE_SUM = 5;

	/** Multiple of the mean sum of the peers that does not count against a server. */
	private static final double PEER_SUM_FACTOR = 3;

	/** Increase of the allowance after each change that affects most servers. */
	private static final double ALLOWANCE_INCREASE = 8;

	/** Upper bound of the increase of the allowance. */
	private static final double MAX_ALLOWANCE_INCREASE = 15;

	/**
	 * Time in milliseconds after which the increase of the allowance has decayed to 1/e.
	 */
	private static final double INCREASE_DECAY_MS = 15_000;

	/** Remaining weight of earlier work after a change that affects most servers. */
	private static final float RETAINED_WEIGHT = 0.1F;

	/** Time in milliseconds after which a report of requests in flight is outdated. */
	private static final long REPORT_LIFETIME_MS = 400;

	/**
	 * Upper bound of the score of the requests in flight, as a share of the threshold.
	 */
	private static final double MAX_IN_FLIGHT_SHARE = 0.8;

	/**
	 * Score that is added to existing evidence while an endpoint states that the server
	 * is unhealthy.
	 */
	private static final double ENDPOINT_SCORE = 1;

	private static final Comparator<Result> BY_END = Comparator.comparingLong(Result::end);

	private final Map<BackendServerId, ServerEvidence> servers = new LinkedHashMap<>();

	private final PeerStatistics[] peerStatistics = new PeerStatistics[WorkClass.values().length];

	/** Current increase of the allowance by class of work. */
	private final double[] allowanceIncrease = new double[WorkClass.values().length];

	private long lastAdvanceAt;

	private final List<Result> pending = new ArrayList<>();

	/**
	 * Creates a detector without servers.
	 */
	public OutlierDetector() {
		for (WorkClass workClass : WorkClass.values()) {
			this.peerStatistics[workClass.ordinal()] = new PeerStatistics(workClass, this.servers.values());
		}
	}

	/**
	 * Adds a server; if the number of slots of a known server changed, its evidence is
	 * cleared.
	 * @param server the server
	 * @param slots the number of requests that it processes concurrently
	 */
	public void addServer(BackendServerId server, int slots) {
		ServerEvidence existing = this.servers.get(server);
		if (existing == null || existing.slots() != Math.max(1, slots)) {
			this.servers.put(server, new ServerEvidence(slots));
		}
	}

	/**
	 * Removes a server.
	 * @param server the server
	 */
	public void removeServer(BackendServerId server) {
		this.servers.remove(server);
	}

	/**
	 * Clears the evidence about a server.
	 * @param server the server
	 */
	public void clearEvidence(BackendServerId server) {
		ServerEvidence evidence = this.servers.get(server);
		if (evidence != null) {
			evidence.clear();
		}
	}

	/**
	 * Sets how the work of a server is used.
	 * @param server the server
	 * @param useAsReference whether other servers are compared with it
	 * @param countSlowness whether slow work counts as evidence against it
	 */
	public void setEvidenceUse(BackendServerId server, boolean useAsReference, boolean countSlowness) {
		ServerEvidence evidence = this.servers.get(server);
		if (evidence != null) {
			evidence.useAsReference = useAsReference;
			evidence.countSlowness = countSlowness;
		}
	}

	/**
	 * Records the response of a health or load endpoint.
	 * @param server the server
	 * @param healthy whether the endpoint states that the server is healthy
	 */
	public void recordEndpointHealth(BackendServerId server, boolean healthy) {
		ServerEvidence evidence = this.servers.get(server);
		if (evidence != null) {
			evidence.endpointUnhealthy = !healthy;
		}
	}

	/**
	 * Records the result of a request. The result is applied only after
	 * {@link #REORDERING_WINDOW_MS} have passed since the end of the request.
	 * @param end the monotonic time in milliseconds at which the request ended
	 * @param observation the observation
	 */
	public void recordResult(long end, Observation observation) {
		this.pending.add(new Result(end, observation));
	}

	/**
	 * Replaces the requests that a daemon has in flight.
	 * @param now the current monotonic time in milliseconds
	 * @param report the report
	 */
	public void replaceInFlight(long now, HealthInput.InFlightReport report) {
		for (ServerEvidence evidence : this.servers.values()) {
			evidence.removeInFlightOf(report.observer());
		}
		for (HealthInput.RunningRequest request : report.requests()) {
			ServerEvidence evidence = this.servers.get(request.server());
			if (evidence != null) {
				evidence.addInFlight(new ServerEvidence.InFlightRequest(report.observer(), request.workClass(),
						now - request.elapsed(), now));
			}
		}
	}

	/**
	 * Applies all results that are due and updates the scores of the requests in flight.
	 * @param now the current monotonic time in milliseconds
	 */
	public void advance(long now) {
		this.pending.sort(BY_END);
		int dueCount = 0;
		while (dueCount < this.pending.size() && this.pending.get(dueCount).end <= now - REORDERING_WINDOW_MS) {
			dueCount++;
		}
		for (int index = 0; index < dueCount; index++) {
			Result result = this.pending.get(index);
			ServerEvidence evidence = this.servers.get(result.observation.server());
			if (evidence != null) {
				applyResult(index, result, evidence);
			}
		}
		this.pending.subList(0, dueCount).clear();
		for (PeerStatistics statistics : this.peerStatistics) {
			statistics.refresh();
		}
		for (ServerEvidence evidence : this.servers.values()) {
			scoreInFlight(now, evidence);
		}
		double remainingShare = Math.exp((this.lastAdvanceAt - now) / INCREASE_DECAY_MS);
		this.lastAdvanceAt = now;
		for (WorkClass workClass : WorkClass.values()) {
			this.allowanceIncrease[workClass.ordinal()] *= remainingShare;
			for (SuspicionEvidence.Kind kind : SuspicionEvidence.Kind.values()) {
				double commonSum = lowerMedian(workClass, kind);
				if (commonSum > COMMON_CHANGE_SUM) {
					adaptToCommonChange(workClass, kind, commonSum);
				}
			}
		}
	}

	/**
	 * Adapts the comparison to a change that affects most servers. Otherwise the sums of
	 * all servers would increase until the statistics of the peers reflect the change,
	 * and one of them would reach the threshold by chance.
	 * @param workClass the class of work
	 * @param kind the kind of evidence
	 * @param commonSum the sum that most servers reach
	 */
	private void adaptToCommonChange(WorkClass workClass, SuspicionEvidence.Kind kind, double commonSum) {
		this.allowanceIncrease[workClass.ordinal()] = Math.min(MAX_ALLOWANCE_INCREASE,
				this.allowanceIncrease[workClass.ordinal()] + ALLOWANCE_INCREASE);
		for (ServerEvidence server : this.servers.values()) {
			WorkClassEvidence evidence = server.forClass(workClass);
			switch (kind) {
				case SLOW -> {
					evidence.addSlowScore(-commonSum);
					evidence.durations.decay(RETAINED_WEIGHT);
				}
				case FAILING -> {
					evidence.addFailingScore(-commonSum);
					evidence.answers *= RETAINED_WEIGHT;
					evidence.errors *= RETAINED_WEIGHT;
				}
				case UNREACHABLE -> server.reachability.clear();
			}
		}
		this.peerStatistics[workClass.ordinal()].recomputeTotals();
	}

	private double lowerMedian(WorkClass workClass, SuspicionEvidence.Kind kind) {
		double[] sums = new double[this.servers.size()];
		int count = 0;
		for (ServerEvidence server : this.servers.values()) {
			if (server.useAsReference) {
				sums[count++] = cumulativeSum(server, workClass, kind);
			}
		}
		if (count < 2) {
			return 0;
		}
		Arrays.sort(sums, 0, count);
		return sums[(count - 1) / 2];
	}

	/**
	 * Returns the strongest evidence against a server.
	 * @param server the server
	 * @return the evidence
	 */
	public SuspicionEvidence strongestEvidence(BackendServerId server) {
		ServerEvidence evidence = this.servers.get(server);
		if (evidence == null) {
			return SuspicionEvidence.NONE;
		}
		SuspicionEvidence strongest = SuspicionEvidence.NONE;
		for (WorkClass workClass : WorkClass.values()) {
			for (SuspicionEvidence.Kind kind : SuspicionEvidence.Kind.values()) {
				double sum = cumulativeSum(evidence, workClass, kind);
				if (sum > strongest.strength()) {
					double allowance = allowance(evidence, workClass, kind);
					if (sum - allowance > strongest.strength()) {
						strongest = describe(evidence, workClass, kind, sum - allowance, allowance);
					}
				}
			}
		}
		return strongest;
	}

	private void applyResult(int index, Result result, ServerEvidence evidence) {
		Observation observation = result.observation;
		WorkClass workClass = observation.workClass();
		DaemonId observer = observation.observer();
		long start = result.start();
		evidence.removeRequest(observer, workClass, start);
		switch (observation.result()) {
			case SUCCEEDED, FAILED -> {
				evidence.reachability.recordAnswer(result.end, observer);
				recordAnswer(evidence, workClass, observation.result() == Observation.Result.FAILED,
						result.end - evidence.latestServiceStart(start, countHeldSlots(index, result, evidence)));
				evidence.recordAnswer(result.end);
			}
			case CONNECTION_FAILED -> {
				if (evidence.reachability.recordNoAnswer(result.end, observer)) {
					recordAnswer(evidence, workClass, true, 0);
				}
			}
			case TIMED_OUT -> {
				int heldSlots = countHeldSlots(index, result, evidence);
				boolean ownFault = evidence.reachability.recordNoAnswer(result.end, observer);
				// A request that only waited until it timed out adds
				// nothing to the evidence of the requests before it.
				if (ownFault && heldSlots < evidence.slots()) {
					recordDuration(evidence, workClass, result.end - evidence.latestServiceStart(start, heldSlots));
					evidence.recordAnswer(result.end);
				}
			}
			// Shedding indicates load, not an unhealthy server.
			case SHED -> evidence.reachability.recordAnswer(result.end, observer);
		}
	}

	/**
	 * Returns the number of requests that were sent to the same server before a given
	 * request and had not ended when it ended.
	 * @param index the position of the result of the given request in the pending results
	 * @param result the result of the given request
	 * @param evidence the evidence about its server
	 * @return the number of requests, as far as daemons reported them
	 */
	private int countHeldSlots(int index, Result result, ServerEvidence evidence) {
		int held = evidence.countInFlightBefore(result.start());
		for (Result later : this.pending.subList(index + 1, this.pending.size())) {
			if (later.start() < result.start() && later.observation.server().equals(result.observation.server())
					&& !evidence.isReported(later.observation.observer(), later.start())) {
				held++;
			}
		}
		return held;
	}

	private void recordAnswer(ServerEvidence server, WorkClass workClass, boolean failed, long duration) {
		PeerStatistics statistics = this.peerStatistics[workClass.ordinal()];
		WorkClassEvidence evidence = server.forClass(workClass);
		evidence.updateRecent(failed, duration);
		evidence.addFailingScore(LogLikelihoodRatios.forOutcome(failed, statistics.errorRate(evidence)));
		if (!failed) {
			recordDuration(server, workClass, duration);
		}
		if (server.useAsReference && !isExcluded(server, workClass)) {
			statistics.countAnswer();
			evidence.answers++;
			if (failed) {
				evidence.errors++;
			}
			else {
				evidence.durations.add(duration);
			}
		}
	}

	private void recordDuration(ServerEvidence server, WorkClass workClass, long duration) {
		WorkClassEvidence evidence = server.forClass(workClass);
		double rank = this.peerStatistics[workClass.ordinal()].rank(evidence, duration);
		if (rank >= 0 && server.countSlowness) {
			evidence.addSlowScore(LogLikelihoodRatios.forDuration(rank));
		}
	}

	private boolean isExcluded(ServerEvidence server, WorkClass workClass) {
		WorkClassEvidence evidence = server.forClass(workClass);
		double limit = EXCLUSION_SHARE * THRESHOLD;
		return (evidence.slowSum > limit
				&& evidence.slowSum - allowance(server, workClass, SuspicionEvidence.Kind.SLOW) > limit)
				|| (evidence.failingSum > limit
						&& evidence.failingSum - allowance(server, workClass, SuspicionEvidence.Kind.FAILING) > limit);
	}

	private void scoreInFlight(long now, ServerEvidence server) {
		for (WorkClassEvidence evidence : server.classEvidence) {
			evidence.inFlightScore = 0;
		}
		if (server.inFlight.isEmpty()) {
			return;
		}
		server.inFlight.removeIf((request) -> request.reportedAt() < now - REPORT_LIFETIME_MS);
		if (!server.countSlowness) {
			return;
		}
		// The server processes at most as many requests as it has slots; the others wait.
		server.inFlight.sort(Comparator.comparingLong(ServerEvidence.InFlightRequest::sentAt));
		int counted = Math.min(server.slots(), server.inFlight.size());
		for (int held = 0; held < counted; held++) {
			ServerEvidence.InFlightRequest request = server.inFlight.get(held);
			PeerStatistics statistics = this.peerStatistics[request.workClass().ordinal()];
			WorkClassEvidence evidence = server.forClass(request.workClass());
			long elapsed = request.reportedAt() - server.latestServiceStart(request.sentAt(), held);
			double rank = statistics.rank(evidence, elapsed);
			if (rank >= 0) {
				evidence.inFlightScore += LogLikelihoodRatios.forInFlight(rank,
						Math.max(1, elapsed / statistics.tailStart()));
			}
		}
		for (WorkClassEvidence evidence : server.classEvidence) {
			evidence.inFlightScore = Math.min(evidence.inFlightScore, MAX_IN_FLIGHT_SHARE * THRESHOLD);
		}
	}

	private double cumulativeSum(ServerEvidence server, WorkClass workClass, SuspicionEvidence.Kind kind) {
		WorkClassEvidence evidence = server.forClass(workClass);
		double sum = switch (kind) {
			case SLOW -> evidence.slowSum + evidence.inFlightScore;
			case FAILING -> evidence.failingSum;
			case UNREACHABLE -> server.reachability.unreachableSum() + evidence.inFlightScore;
		};
		return (server.endpointUnhealthy && sum > 0) ? sum + ENDPOINT_SCORE : sum;
	}

	/**
	 * Returns the amount by which a sum must exceed the threshold: a multiple of the mean
	 * of the peers' sums, plus the increase after common changes. The highest quarter of
	 * the peers' sums is left out, because those peers may be unhealthy, too.
	 * @param server the server
	 * @param workClass the class of work
	 * @param kind the kind of evidence
	 * @return the allowance
	 */
	private double allowance(ServerEvidence server, WorkClass workClass, SuspicionEvidence.Kind kind) {
		double[] sums = new double[this.servers.size()];
		int count = 0;
		for (ServerEvidence peer : this.servers.values()) {
			if (peer != server && peer.useAsReference) {
				sums[count++] = cumulativeSum(peer, workClass, kind);
			}
		}
		int consideredCount = count - (count + 3) / 4;
		if (consideredCount == 0) {
			return 0;
		}
		Arrays.sort(sums, 0, count);
		return this.allowanceIncrease[workClass.ordinal()]
				+ PEER_SUM_FACTOR * Arrays.stream(sums, 0, consideredCount).sum() / consideredCount;
	}

	private SuspicionEvidence describe(ServerEvidence server, WorkClass workClass, SuspicionEvidence.Kind kind,
			double strength, double allowance) {
		PeerStatistics statistics = this.peerStatistics[workClass.ordinal()];
		WorkClassEvidence evidence = server.forClass(workClass);
		double percent = 100;
		return switch (kind) {
			case SLOW -> new SuspicionEvidence(kind, workClass, strength, allowance, evidence.typicalDuration(),
					statistics.medianDuration());
			case FAILING -> new SuspicionEvidence(kind, workClass, strength, allowance,
					percent * evidence.recentErrorRate(), percent * statistics.errorRate(evidence));
			case UNREACHABLE -> new SuspicionEvidence(kind, workClass, strength, allowance, percent
					* server.reachability.failingObserverCount() / Math.max(1, server.reachability.observerCount()), 0);
		};
	}

	private record Result(long end, Observation observation) {

		private long start() {
			return this.end - this.observation.duration();
		}

	}

}
