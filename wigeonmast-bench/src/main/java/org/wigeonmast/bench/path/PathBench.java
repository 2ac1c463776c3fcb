package org.wigeonmast.bench.path;

import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.wigeonmast.bench.Bench;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyServer;

/**
 * Bench that compares calls through a proxy with direct calls in the same run.
 * <p>
 * Thread safety: none; one thread runs a bench.
 */
public final class PathBench implements Bench {

	private static final double TARGET_P99_MILLISECONDS = 1.6;

	private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);

	private static final int CONNECTIONS = 330;

	private static final int CLOSED_LOOP_CALLERS = 32;

	private static final double SLICE_SECONDS = 1;

	private static final double MICROSECONDS_PER_MILLISECOND = 1000;

	private final PrintStream out = System.out;

	@Override
	public String name() {
		return "path";
	}

	@Override
	public String description() {
		return "latency, processor time and memory that the proxy adds to a request";
	}

	@Override
	public int run(String[] arguments) throws Exception {
		Options options = new Options()
			.addOption(Option.builder().longOpt("seed").hasArg().desc("seed of the arrivals, 1 by default").get())
			.addOption(Option.builder().longOpt("seconds").hasArg().desc("time per rate and way, 30 by default").get())
			.addOption(Option.builder().longOpt("service").hasArg().desc("time of service in us, 5000").get())
			.addOption(Option.builder().longOpt("body").hasArg().desc("bytes of a response, 1024 by default").get());
		CommandLine line = new DefaultParser().parse(options, arguments);
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		double seconds = Double.parseDouble(line.getOptionValue("seconds", "30"));
		long service = Long.parseLong(line.getOptionValue("service", "5000"));
		int body = Integer.parseInt(line.getOptionValue("body", "1024"));
		try (StandInServer server = new StandInServer(service, body);
				ImmediateDispatch dispatch = new ImmediateDispatch(describe(server));
				ProxyServer proxy = proxy(server, dispatch)) {
			dispatch.setCommands(proxy::execute);
			return measure(server, proxy.start(), new Random(seed), seconds);
		}
	}

	private int measure(StandInServer server, HostAddress proxied, Random random, double seconds) throws Exception {
		boolean met = true;
		try (BenchClient directClient = new BenchClient(server.address());
				BenchClient proxiedClient = new BenchClient(proxied)) {
			OpenLoop direct = new OpenLoop(directClient);
			OpenLoop through = new OpenLoop(proxiedClient);
			// The first seconds compile the code and open the connections.
			compare(direct, through, random, 500, Math.min(seconds, 10));
			for (double rate : new double[] { 250, 500 }) {
				direct.reset();
				through.reset();
				ThreadUsage usage = compare(direct, through, random, rate, seconds);
				met &= report(direct, through, rate, usage);
			}
			server.setServiceMicroseconds(0);
			saturate(proxiedClient, Math.min(seconds, 10));
		}
		return met ? 0 : 1;
	}

	private static ThreadUsage compare(OpenLoop direct, OpenLoop through, Random random, double rate, double seconds) {
		long nanoseconds = 0;
		long bytes = 0;
		for (double passed = 0; passed < seconds; passed += SLICE_SECONDS) {
			direct.run(random, rate, SLICE_SECONDS);
			ThreadUsage before = ThreadUsage.read();
			through.run(random, rate, SLICE_SECONDS);
			ThreadUsage used = ThreadUsage.read().since(before);
			nanoseconds += used.nanoseconds();
			bytes += used.bytes();
		}
		return new ThreadUsage(nanoseconds, bytes);
	}

	private boolean report(OpenLoop direct, OpenLoop through, double rate, ThreadUsage usage) {
		long count = through.latencies().getTotalCount();
		this.out.printf("%.0f requests/s, %d requests each way, failed %d direct and %d proxied%n", rate, count,
				direct.failures(), through.failures());
		for (double percentile : PERCENTILES) {
			this.out.printf("  p%-5s direct %.3f ms, proxied %.3f ms, added %.3f ms%n", percentile,
					milliseconds(direct.latencies(), percentile), milliseconds(through.latencies(), percentile),
					added(direct, through, percentile));
		}
		reportUsage(count, usage);
		boolean met = added(direct, through, 99) <= TARGET_P99_MILLISECONDS && through.failures() == 0;
		this.out.printf("  target: p99 added at most %.1f ms: %s%n", TARGET_P99_MILLISECONDS, met ? "met" : "missed");
		return met;
	}

	private void reportUsage(long count, ThreadUsage usage) {
		this.out.printf("  %.1f us of processor time and %.0f allocated bytes per request, %.0f requests/s per core%n",
				usage.nanoseconds() / 1000.0 / count, (double) usage.bytes() / count,
				count * 1e9 / usage.nanoseconds());
	}

	private void saturate(BenchClient client, double seconds) throws InterruptedException {
		closedLoop(client, seconds);
		ThreadUsage before = ThreadUsage.read();
		int count = closedLoop(client, seconds);
		ThreadUsage used = ThreadUsage.read().since(before);
		this.out.printf("%d callers without pause: %.0f requests/s%n", CLOSED_LOOP_CALLERS, count / seconds);
		reportUsage(count, used);
	}

	private static int closedLoop(BenchClient client, double seconds) throws InterruptedException {
		long end = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
		AtomicInteger count = new AtomicInteger();
		CountDownLatch finished = new CountDownLatch(CLOSED_LOOP_CALLERS);
		for (int i = 0; i < CLOSED_LOOP_CALLERS; i++) {
			call(client, end, count, finished);
		}
		finished.await();
		return count.get();
	}

	private static void call(BenchClient client, long end, AtomicInteger count, CountDownLatch finished) {
		client.send((completed) -> {
			if (completed == BenchClient.FAILED || completed >= end) {
				finished.countDown();
			}
			else {
				count.incrementAndGet();
				call(client, end, count, finished);
			}
		});
	}

	private static double added(OpenLoop direct, OpenLoop through, double percentile) {
		return milliseconds(through.latencies(), percentile) - milliseconds(direct.latencies(), percentile);
	}

	private static double milliseconds(Histogram latencies, double percentile) {
		return latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
	}

	private static BackendServer describe(StandInServer server) {
		return new BackendServer(new BackendServerId("board-1"), server.address(),
				new FailureDomain(new Region("addis"), "a"), 2, CONNECTIONS);
	}

	private static ProxyServer proxy(StandInServer server, ImmediateDispatch dispatch) {
		Manifest manifest = new PathManifest(new Service(new ServiceName("board"), List.of(describe(server)), 0, 1, 0,
				Service.DEFAULT_KEY_LIFETIME));
		return new ProxyServer(ProxyConfiguration.defaults(new HostAddress("127.0.0.1", 0)), MillisecondClock.system(),
				() -> manifest, dispatch, new MetricRegistry());
	}

}
