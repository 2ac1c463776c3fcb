package org.wigeonmast.health.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.wigeonmast.manifest.WorkClass;

/**
 * Statistics of the work of one class at all servers of a service, with which each server
 * is compared.
 * <p>
 * Thread safety: none. Invariant: a server is compared only with the work of the other
 * servers.
 */
final class PeerStatistics {

	/** Number of requests per server after which the weight of a duration is halved. */
	private static final double HALF_LIFE_REQUESTS = 64;

	/** Minimum weighted number of requests at the peers for a comparison. */
	private static final double MIN_REFERENCE_REQUESTS = 50;

	/** Quantile of the durations at which the tail starts. */
	private static final double TAIL_QUANTILE = 0.99;

	private final WorkClass workClass;

	private final Collection<ServerEvidence> servers;

	private final DurationHistogram combinedDurations = new DurationHistogram();

	private final List<DurationHistogram> histograms = new ArrayList<>();

	/** Number of answers since the last decay of the counts. */
	private double answersSinceDecay;

	/** Duration in milliseconds at which the tail starts. */
	private double tailStart = 1;

	private float answers;

	private float errors;

	PeerStatistics(WorkClass workClass, Collection<ServerEvidence> servers) {
		this.workClass = workClass;
		this.servers = servers;
	}

	/** Applies the decay that is due and recomputes the totals over all servers. */
	void refresh() {
		if (this.answersSinceDecay == 0) {
			return;
		}
		int count = this.servers.size();
		float factor = (float) Math.pow(2, -this.answersSinceDecay / (HALF_LIFE_REQUESTS * count));
		this.answersSinceDecay = 0;
		for (ServerEvidence server : this.servers) {
			server.forClass(this.workClass).decay(factor);
		}
		recomputeTotals();
	}

	void recomputeTotals() {
		this.histograms.clear();
		this.answers = 0;
		this.errors = 0;
		for (ServerEvidence server : this.servers) {
			WorkClassEvidence evidence = server.forClass(this.workClass);
			evidence.durations.updateCumulativeCounts();
			this.histograms.add(evidence.durations);
			this.answers += evidence.answers;
			this.errors += evidence.errors;
		}
		this.combinedDurations.setToSumOf(this.histograms);
		this.tailStart = this.combinedDurations.quantile(TAIL_QUANTILE);
	}

	/**
	 * Returns the rank of a duration among the durations of the peers.
	 * @param evidence the evidence about the server itself, which is left out
	 * @param duration the duration in milliseconds
	 * @return the rank from 0 to 1, or -1 if the peers have processed too little work
	 */
	double rank(WorkClassEvidence evidence, long duration) {
		float total = this.combinedDurations.total() - evidence.durations.total();
		if (total < MIN_REFERENCE_REQUESTS) {
			return -1;
		}
		int bucket = DurationHistogram.bucketOf(duration);
		double rank = (this.combinedDurations.countBelow(bucket) - evidence.durations.countBelow(bucket)) / total;
		return Math.max(0, Math.min(1, rank));
	}

	double errorRate(WorkClassEvidence evidence) {
		float total = this.answers - evidence.answers;
		return (total < MIN_REFERENCE_REQUESTS) ? 0 : Math.max(0, (this.errors - evidence.errors) / total);
	}

	double medianDuration() {
		return this.combinedDurations.quantile(1.0 / 2);
	}

	void countAnswer() {
		this.answersSinceDecay++;
	}

	double tailStart() {
		return this.tailStart;
	}

}
