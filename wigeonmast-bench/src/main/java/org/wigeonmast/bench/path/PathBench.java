package org.wigeonmast.bench.path;

import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
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

	private static final int CONNECTIONS = 330;

	private static final int CLOSED_LOOP_CALLERS = 32;

	private static final double WARM_UP_SECONDS = 10;

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
			.addOption(Option.builder().longOpt("rounds").hasArg().desc("rounds per rate, 10 by default").get())
			.addOption(Option.builder().longOpt("seconds").hasArg().desc("time per round and way, 5").get())
			.addOption(Option.builder().longOpt("inline").desc("decide on the traffic thread").get())
			.addOption(Option.builder().longOpt("service").hasArg().desc("time of service in us, 5000").get())
			.addOption(Option.builder().longOpt("body").hasArg().desc("bytes of a response, 1024 by default").get());
		CommandLine line = new DefaultParser().parse(options, arguments);
		Random random = new Random(Long.parseLong(line.getOptionValue("seed", "1")));
		int rounds = Integer.parseInt(line.getOptionValue("rounds", "10"));
		double seconds = Double.parseDouble(line.getOptionValue("seconds", "5"));
		long service = Long.parseLong(line.getOptionValue("service", "5000"));
		int body = Integer.parseInt(line.getOptionValue("body", "1024"));
		try (StandInServer server = new StandInServer(service, body);
				ImmediateDispatch dispatch = new ImmediateDispatch(describe(server), line.hasOption("inline"));
				ProxyServer proxy = proxy(server, dispatch)) {
			dispatch.setCommands(proxy::execute);
			return measure(server, proxy.start(), random, rounds, seconds);
		}
	}

	private int measure(StandInServer server, HostAddress proxied, Random random, int rounds, double seconds)
			throws InterruptedException {
		boolean met = true;
		try (BenchClient directClient = new BenchClient(server.address());
				BenchClient proxiedClient = new BenchClient(proxied)) {
			PathRounds comparison = new PathRounds(this.out, new OpenLoop(directClient), new OpenLoop(proxiedClient));
			// The first seconds compile the code and open the connections.
			comparison.warmUp(random, WARM_UP_SECONDS);
			for (double rate : new double[] { 250, 500 }) {
				met &= comparison.run(random, rate, rounds, seconds);
			}
			server.setServiceMicroseconds(0);
			saturate(proxiedClient, seconds);
		}
		return met ? 0 : 1;
	}

	private void saturate(BenchClient client, double seconds) throws InterruptedException {
		closedLoop(client, seconds);
		ThreadUsage before = ThreadUsage.read();
		int count = closedLoop(client, seconds);
		ThreadUsage used = ThreadUsage.read().since(before);
		this.out.printf("%d callers without pause: %.0f requests/s%n", CLOSED_LOOP_CALLERS, count / seconds);
		used.print(this.out, count);
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

	private static BackendServer describe(StandInServer server) {
		return new BackendServer(new BackendServerId("board-1"), server.address(),
				new FailureDomain(new Region("addis"), "a"), 2, CONNECTIONS);
	}

	private static ProxyServer proxy(StandInServer server, ImmediateDispatch dispatch) {
		Manifest manifest = new PathManifest(new Service(new ServiceName("board"), List.of(describe(server)), 0, 1, 0,
				Service.DEFAULT_KEY_LIFETIME_MS));
		return new ProxyServer(ProxyConfiguration.defaults(new HostAddress("127.0.0.1", 0)), MillisecondClock.system(),
				() -> manifest, dispatch, new MetricRegistry());
	}

}
