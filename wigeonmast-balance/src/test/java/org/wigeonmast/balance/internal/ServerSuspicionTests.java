package org.wigeonmast.balance.internal;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Tests of {@link ServerSuspicion}. */
class ServerSuspicionTests {

	private static final double FAILED_LOG_RATIO = 3.7;

	private final ServerSuspicion suspicion = new ServerSuspicion(0);

	/**
	 * Guards against waiting for a second failure, which comes too late in a short
	 * failure episode.
	 */
	@Test
	void oneFailureSuspectsAtOnce() {
		this.suspicion.observe(1000, FAILED_LOG_RATIO);
		Truth.assertThat(this.suspicion.isSuspected(1000)).isTrue();
		Truth.assertThat(this.suspicion.evidenceAge(1250)).isEqualTo(250);
	}

	/** Guards against avoiding a server long after its failure episode. */
	@Test
	void suspicionOfOneFailureEndsWithinTenSeconds() {
		this.suspicion.observe(0, FAILED_LOG_RATIO);
		Truth.assertThat(this.suspicion.isSuspected(10_000)).isFalse();
	}

	/**
	 * Guards against a daemon that has just started and has no evidence of a failing
	 * server.
	 */
	@Test
	void moreRecentEvidenceOfAPeerIsTakenOver() {
		Truth.assertThat(this.suspicion.adopt(1000, 0.9, 200)).isTrue();
		Truth.assertThat(this.suspicion.isSuspected(1000)).isTrue();
	}

	/** Guards against an outdated report that overrides the server's recovery. */
	@Test
	void olderEvidenceOfAPeerIsIgnored() {
		this.suspicion.observe(1000, -1.5);
		Truth.assertThat(this.suspicion.adopt(1100, 0.9, 500)).isFalse();
		Truth.assertThat(this.suspicion.isSuspected(1100)).isFalse();
	}

	/**
	 * Guards against ranking a server with a single error like one with many errors.
	 */
	@Test
	void secondFailureRanksAboveTheFirst() {
		this.suspicion.observe(0, FAILED_LOG_RATIO);
		double once = this.suspicion.probability(100);
		this.suspicion.observe(100, FAILED_LOG_RATIO);
		Truth.assertThat(this.suspicion.probability(100)).isGreaterThan(once + 0.1);
	}

	/**
	 * Guards against using a server again during a failure episode of twelve seconds
	 * while others are healthy.
	 */
	@Test
	void repeatedFailuresKeepTheServerAvoidedForTwelveSeconds() {
		this.suspicion.observe(0, FAILED_LOG_RATIO);
		this.suspicion.observe(100, FAILED_LOG_RATIO);
		Truth.assertThat(this.suspicion.isAvoided(12_000)).isTrue();
	}

	/** Guards against avoiding a server that has recovered and answers again. */
	@Test
	void answerAfterALongTimeEndsTheAvoidance() {
		this.suspicion.observe(0, FAILED_LOG_RATIO);
		this.suspicion.observe(20_000, -1.8);
		Truth.assertThat(this.suspicion.isAvoided(20_000)).isFalse();
	}

	/** Guards against a probability so close to 1 that no success could lower it. */
	@Test
	void manyFailuresEndWithinFifteenSeconds() {
		for (int i = 0; i < 100; i++) {
			this.suspicion.observe(i, FAILED_LOG_RATIO);
		}
		Truth.assertThat(this.suspicion.isSuspected(15_000)).isFalse();
	}

	/** Guards against past successes that hide the next failure. */
	@Test
	void successesGiveNoCreditThatHidesAFailure() {
		for (int i = 0; i < 100; i++) {
			this.suspicion.observe(i, -1.8);
		}
		this.suspicion.observe(100, FAILED_LOG_RATIO);
		Truth.assertThat(this.suspicion.isSuspected(100)).isTrue();
	}

}
