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
final class PeerDurations {

	/** Number of requests per server after which the weight of a duration is halved. */
	private static final double HALF_LIFE = 64;

	/** Minimum weighted number of requests at the peers for a comparison. */
	private static final double LEAST_REFERENCE = 50;

	/** Quantile of the durations at which the tail starts. */
	private static final double TAIL = 0.99;

	private final WorkClass workClass;

	private final Collection<ServerEvidence> servers;

	private final DurationHistogram all = new DurationHistogram();

	private final List<DurationHistogram> histograms = new ArrayList<>();

	/** Number of answers since the last decay of the counts. */
	private double counted;

	/** Duration in milliseconds at which the tail starts. */
	private double tail = 1;

	private float answers;

	private float errors;

	PeerDurations(WorkClass workClass, Collection<ServerEvidence> servers) {
		this.workClass = workClass;
		this.servers = servers;
	}

	/** Applies the decay that is due and recomputes the totals over all servers. */
	void refresh() {
		if (this.counted == 0) {
			return;
		}
		int count = this.servers.size();
		float factor = (float) Math.pow(2, -this.counted / (HALF_LIFE * count));
		this.counted = 0;
		for (ServerEvidence server : this.servers) {
			server.forClass(this.workClass).decay(factor);
		}
		sum();
	}

	void sum() {
		this.histograms.clear();
		this.answers = 0;
		this.errors = 0;
		for (ServerEvidence server : this.servers) {
			WorkClassEvidence evidence = server.forClass(this.workClass);
			evidence.durations.accumulate();
			this.histograms.add(evidence.durations);
			this.answers += evidence.answers;
			this.errors += evidence.errors;
		}
		this.all.sum(this.histograms);
		this.tail = this.all.quantile(TAIL);
	}

	/**
	 * Returns the rank of a duration among the durations of the peers.
	 * @param evidence the evidence about the server itself, which is left out
	 * @param duration the duration in milliseconds
	 * @return the rank from 0 to 1, or -1 if the peers have processed too little work
	 */
	double rank(WorkClassEvidence evidence, long duration) {
		float total = this.all.total() - evidence.durations.total();
		if (total < LEAST_REFERENCE) {
			return -1;
		}
		int bucket = DurationHistogram.bucket(duration);
		double rank = (this.all.below(bucket) - evidence.durations.below(bucket)) / total;
		return Math.max(0, Math.min(1, rank));
	}

	double errorShare(WorkClassEvidence evidence) {
		float total = this.answers - evidence.answers;
		return (total < LEAST_REFERENCE) ? 0 : Math.max(0, (this.errors - evidence.errors) / total);
	}

	double median() {
		return this.all.quantile(1.0 / 2);
	}

	void count() {
		this.counted++;
	}

	double tail() {
		return this.tail;
	}

}
