package org.wigeonmast.balance.internal;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Tests of {@link Suspicion}. */
class SuspicionTests {

	private static final double FAILED = 3.7;

	private final Suspicion suspicion = new Suspicion(0);

	/**
	 * Guards against waiting for a second sample, which comes after the trouble is over.
	 */
	@Test
	void oneFailureSuspectsAtOnce() {
		this.suspicion.observe(1000, FAILED);
		Truth.assertThat(this.suspicion.isSuspected(1000)).isTrue();
		Truth.assertThat(this.suspicion.evidenceAge(1250)).isEqualTo(250);
	}

	/** Guards against a server that stays out of use after its trouble has passed. */
	@Test
	void suspicionOfOneFailureEndsWithinTenSeconds() {
		this.suspicion.observe(0, FAILED);
		Truth.assertThat(this.suspicion.isSuspected(10_000)).isFalse();
	}

	/**
	 * Guards against a daemon that started late and knows nothing of a failing server.
	 */
	@Test
	void moreRecentEvidenceOfAPeerIsTakenOver() {
		Truth.assertThat(this.suspicion.adopt(1000, 0.9, 200)).isTrue();
		Truth.assertThat(this.suspicion.isSuspected(1000)).isTrue();
	}

	/** Guards against a stale rumour that outlives the server's recovery. */
	@Test
	void olderEvidenceOfAPeerIsIgnored() {
		this.suspicion.observe(1000, -1.5);
		Truth.assertThat(this.suspicion.adopt(1100, 0.9, 500)).isFalse();
		Truth.assertThat(this.suspicion.isSuspected(1100)).isFalse();
	}

	/**
	 * Guards against a server whose one error in passing ranks like a spell of errors.
	 */
	@Test
	void secondFailureRanksAboveTheFirst() {
		this.suspicion.observe(0, FAILED);
		double once = this.suspicion.probability(100);
		this.suspicion.observe(100, FAILED);
		Truth.assertThat(this.suspicion.probability(100)).isGreaterThan(once + 0.1);
	}

	/**
	 * Guards against going back to a server in a spell of twelve seconds while others are
	 * sound.
	 */
	@Test
	void repeatedFailuresKeepTheServerAvoidedForTwelveSeconds() {
		this.suspicion.observe(0, FAILED);
		this.suspicion.observe(100, FAILED);
		Truth.assertThat(this.suspicion.isAvoided(12_000)).isTrue();
	}

	/** Guards against a server that was avoided and answers again without being used. */
	@Test
	void answerAfterALongTimeEndsTheAvoidance() {
		this.suspicion.observe(0, FAILED);
		this.suspicion.observe(20_000, -1.8);
		Truth.assertThat(this.suspicion.isAvoided(20_000)).isFalse();
	}

	/** Guards against suspicion without bound, which no success could end. */
	@Test
	void manyFailuresEndWithinFifteenSeconds() {
		for (int i = 0; i < 100; i++) {
			this.suspicion.observe(i, FAILED);
		}
		Truth.assertThat(this.suspicion.isSuspected(15_000)).isFalse();
	}

	/** Guards against credit that would hide the next failure. */
	@Test
	void successesGiveNoCreditThatHidesAFailure() {
		for (int i = 0; i < 100; i++) {
			this.suspicion.observe(i, -1.8);
		}
		this.suspicion.observe(100, FAILED);
		Truth.assertThat(this.suspicion.isSuspected(100)).isTrue();
	}

}
