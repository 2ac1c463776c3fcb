package org.wigeonmast.bench.path;

import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Load with independent arrivals: requests are sent at their intended times, however slow
 * the answers are, and latency counts from the intended time.
 * <p>
 * Thread safety: none; one thread runs it.
 */
final class OpenLoop {

	private static final int DIGITS = 3;

	private static final long NANOSECONDS_PER_MICROSECOND = 1000;

	private final BenchClient client;

	private final Histogram latencies = new ConcurrentHistogram(DIGITS);

	private final AtomicLong failures = new AtomicLong();

	OpenLoop(BenchClient client) {
		this.client = client;
	}

	/**
	 * Sends requests and waits for their answers.
	 * @param random the random numbers for the arrivals
	 * @param rate the mean number of requests per second
	 * @param seconds the duration
	 * @return the number of requests
	 */
	int run(RandomGenerator random, double rate, double seconds) {
		Phaser answers = new Phaser(1);
		long end = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
		double intended = System.nanoTime();
		int count = 0;
		while (true) {
			intended += random.nextExponential() * TimeUnit.SECONDS.toNanos(1) / rate;
			long start = (long) intended;
			if (start >= end) {
				answers.arriveAndAwaitAdvance();
				return count;
			}
			waitUntil(start);
			answers.register();
			count++;
			this.client.send((completed) -> {
				record(start, completed);
				answers.arriveAndDeregister();
			});
		}
	}

	private static void waitUntil(long time) {
		long left = time - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = time - System.nanoTime();
		}
	}

	private void record(long start, long completed) {
		if (completed == BenchClient.FAILED) {
			this.failures.incrementAndGet();
		}
		else {
			this.latencies.recordValue((completed - start) / NANOSECONDS_PER_MICROSECOND);
		}
	}

	/**
	 * Returns the latencies.
	 * @return the latencies in microseconds
	 */
	Histogram latencies() {
		return this.latencies;
	}

	long failures() {
		return this.failures.get();
	}

	void reset() {
		this.latencies.reset();
		this.failures.set(0);
	}

}
