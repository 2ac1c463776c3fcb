package org.wigeonmast.bench.path;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Arrays;

import com.sun.management.ThreadMXBean;

/**
 * Processor time and allocated memory of the proxy's threads so far.
 * <p>
 * Thread safety: immutable.
 *
 * @param nanoseconds the processor time in nanoseconds
 * @param bytes the allocated heap memory in bytes
 */
record ThreadUsage(long nanoseconds, long bytes) {

	private static final double NANOSECONDS_PER_MICROSECOND = 1e3;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final String TRAFFIC = "wigeonmast-traffic";

	/**
	 * Reads the usage of the traffic thread and the control thread.
	 * @return the usage
	 */
	static ThreadUsage read() {
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long[] own = Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
			.filter((thread) -> thread != null && (thread.getThreadName().startsWith(TRAFFIC)
					|| thread.getThreadName().equals(ImmediateDispatch.THREAD)))
			.mapToLong((thread) -> thread.getThreadId())
			.toArray();
		return new ThreadUsage(Arrays.stream(own).map(threads::getThreadCpuTime).sum(),
				Arrays.stream(own).map(threads::getThreadAllocatedBytes).sum());
	}

	/**
	 * Returns the usage since an earlier reading.
	 * @param earlier the earlier reading
	 * @return the difference
	 */
	ThreadUsage since(ThreadUsage earlier) {
		return new ThreadUsage(this.nanoseconds - earlier.nanoseconds, this.bytes - earlier.bytes);
	}

	/**
	 * Returns the sum with another usage.
	 * @param other the other usage
	 * @return the sum
	 */
	ThreadUsage plus(ThreadUsage other) {
		return new ThreadUsage(this.nanoseconds + other.nanoseconds, this.bytes + other.bytes);
	}

	/**
	 * Prints the usage per request.
	 * @param out where to print
	 * @param requests the number of requests
	 */
	void print(PrintStream out, long requests) {
		out.printf("  %.1f us of processor time and %.0f allocated bytes per request, %.0f requests/s per core%n",
				this.nanoseconds / NANOSECONDS_PER_MICROSECOND / requests, (double) this.bytes / requests,
				requests * NANOSECONDS_PER_SECOND / this.nanoseconds);
	}

}
