package org.wigeonmast.limit;

import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.RequestId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of rate limits and their shares.
 */
class LimitTests {

	private static final LimitSubject SUBJECT = new LimitSubject(LimitSubject.Kind.CALLER, "kitchen-7");

	/** Guards against unexpired shares that add up to more than the limit. */
	@Property(tries = 200, seed = "600")
	void sharesNeverExceedTheLimit(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Random random = new Random(seed);
		ShareAllocator allocator = new ShareAllocator(0);
		double[] rates = new double[6];
		long[] expiresAt = new long[6];
		for (long now = 0; now < 5000; now += 1 + random.nextInt(100)) {
			int daemon = random.nextInt(6);
			rates[daemon] = allocator.grantShare(now, new DaemonId("d" + daemon, 1), random.nextInt(500), 100, 6);
			expiresAt[daemon] = now + ShareAllocator.LEASE_MS;
			double sum = 0;
			for (int i = 0; i < 6; i++) {
				sum += (expiresAt[i] > now) ? rates[i] : 0;
			}
			assertThat(sum).isAtMost(100 + 1e-6);
		}
	}

	/**
	 * Guards against a daemon that admits without bound when the owner does not answer.
	 */
	@Test
	void equalShareAppliesWithoutOwner() {
		RateLimiter limiter = new RateLimiter(new DaemonId("d", 1));
		int admitted = 0;
		for (int now = 0; now < 10_000; now += 10) {
			admitted += (limiter.handle(now, new LimitInput.Check(new RequestId("r" + now), Map.of(SUBJECT, 20L)))
				.getFirst() instanceof LimitEffect.Admitted) ? 1 : 0;
		}
		assertThat(admitted).isAtLeast(190);
		assertThat(admitted).isAtMost(221);
	}

	/** Guards against messages that change when they are encoded and decoded. */
	@Test
	void decodesEncodedMessages() throws Exception {
		LimitCodec codec = new LimitCodec();
		LimitMessage request = new LimitMessage.ShareRequest(SUBJECT, 12.5, 100);
		LimitMessage grant = new LimitMessage.ShareGrant(SUBJECT, 7.25, 1000);
		assertThat(codec.decode(codec.encode(request))).isEqualTo(request);
		assertThat(codec.decode(codec.encode(grant))).isEqualTo(grant);
	}

	/**
	 * Guards against an invalid rate or lease that would disable the limit permanently.
	 */
	@Test
	void rejectsGrantOutOfRange() {
		LimitCodec codec = new LimitCodec();
		assertThat(rejects(codec.encode(new LimitMessage.ShareGrant(SUBJECT, Double.POSITIVE_INFINITY, 1000))))
			.isTrue();
		assertThat(rejects(codec.encode(new LimitMessage.ShareGrant(SUBJECT, 1, Long.MAX_VALUE)))).isTrue();
		assertThat(rejects(new byte[0])).isTrue();
		assertThat(rejects(codec.encode(new LimitMessage.ShareGrant(SUBJECT, 1, 1000)))).isFalse();
	}

	private static boolean rejects(byte[] bytes) {
		try {
			new LimitCodec().decode(bytes);
			return false;
		}
		catch (MalformedMessageException exception) {
			return true;
		}
	}

}
