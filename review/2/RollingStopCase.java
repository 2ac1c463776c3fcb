import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Two of the three daemons of a zone are stopped with SIGTERM while requests arrive steadily. No request that a
 * stopped daemon has passed on to a worker may end without an answer.
 */
public final class RollingStopCase {

	private static final int DAEMONS = 3;

	/** Daemons that are stopped at a time. */
	private static final int STOPPED = 2;

	private static final int WORKERS = 14;

	private static final int REQUESTS_PER_S = 60;

	private static final int MEAN_WORK_MS = 270;

	private static final int DEADLINE_MS = 2000;

	private static final double ROUTE_TIMEOUT_S = 1.2;

	private static final long GRACE_MS = 6000;

	private static final long CALM_MS = 4000;

	private static final String CONFIGURATION = "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\","
			+ "\"prefix\",\"routeType\",\"timeout\",\"targetLatency\",\"priority\",\"service\",\"maxAttempts\","
			+ "\"trafficSplit\"],\"rows\":[[\"r-1\",\"h.example\",\"/claim/\",\"unsafe\",\"1200ms\",\"800ms\",1,"
			+ "\"desk\",2,null]]},\"services\":{\"columns\":[\"name\",\"healthCheck\",\"maxConnections\",\"protocol\","
			+ "\"tls\"],\"rows\":[[\"desk\",\"/healthz\",330,\"h1\",false]]},\"limits\":{\"maxHeaderBytes\":16384,"
			+ "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

	private RollingStopCase() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]);
		Path folder = Path.of(arguments[1]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		List<DaemonProcess> daemons = new ArrayList<>();
		try (Record record = new Record(Path.of(arguments[2]))) {
			try {
				status = play(root, folder, trouble, daemons, record);
			}
			catch (IOException | RuntimeException exception) {
				record.log("the case could not run: " + exception);
			}
			record.log("exit " + status);
		}
		finally {
			daemons.forEach(DaemonProcess::kill);
		}
		System.exit((status == 1) ? DaemonProcess.EXIT_BROKEN : status);
	}

	private static int play(Path root, Path folder, boolean trouble, List<DaemonProcess> daemons, Record record)
			throws IOException {
		String network = DaemonProcess.freeNetwork();
		StoreStandIn store = new StoreStandIn(network + "1");
		store.put("op/config", CONFIGURATION);
		for (int i = 1; i <= WORKERS; i++) {
			new WorkerStandIn("i-desk" + i, "desk", network + (100 + i), "a1", 2, store, record);
		}
		DaemonProcess.Installation place = new DaemonProcess.Installation(root, folder, network, store.address());
		for (int i = 1; i <= DAEMONS; i++) {
			daemons.add(new DaemonProcess(place, i));
			daemons.get(i - 1).start();
		}
		for (DaemonProcess daemon : daemons) {
			daemon.awaitReady(30_000);
		}
		Entry entry = new Entry(daemons, record);
		Threads.start(entry::poll);
		Traffic traffic = new Traffic(entry, record);
		Threads.start(traffic::send);
		Threads.sleep(CALM_MS);
		double stoppedAt = record.seconds();
		if (trouble) {
			for (DaemonProcess daemon : daemons.subList(0, STOPPED)) {
				record.log("the platform sends SIGTERM to " + daemon.name);
				daemon.terminate();
			}
		}
		Threads.sleep(GRACE_MS);
		if (trouble) {
			for (DaemonProcess daemon : daemons.subList(0, STOPPED)) {
				record.log(daemon.awaitEnd(1) ? daemon.name + " has ended by itself"
						: "the platform sends SIGKILL to " + daemon.name);
				daemon.kill();
				daemon.start();
			}
		}
		Threads.sleep(CALM_MS);
		traffic.stop();
		Threads.sleep(DEADLINE_MS + 500);
		return judge(traffic.outcomes(), daemons, stoppedAt, trouble, record);
	}

	// LOST: a whole request was read and passed on, and its connection ended without an answer before the route's
	// timeout. Requests sent up to 3 s after SIGTERM are left out, whose worker may still be at work in the last sixth
	// of the grace period.
	private static int judge(List<Sent> sent, List<DaemonProcess> daemons, double stoppedAt, boolean trouble,
			Record record) {
		int lost = 0;
		int answered = 0;
		for (Sent request : sent) {
			Requester.Outcome outcome = request.outcome;
			if (outcome.answer != null) {
				answered++;
				continue;
			}
			boolean stopped = trouble && daemons.indexOf(request.daemon) < STOPPED;
			boolean early = outcome.endedAt - outcome.sentAt < ROUTE_TIMEOUT_S;
			boolean late = outcome.sentAt > stoppedAt + 3 && outcome.endedAt < stoppedAt + GRACE_MS / 1000.0 + 1;
			if (stopped && early && late && outcome.connected && request.ran) {
				lost++;
				record.log(String.format("LOST: %s, sent %.3f s after SIGTERM to %s, was passed on to a worker and its "
						+ "connection ended after %.3f s: %s", request.attempt, outcome.sentAt - stoppedAt,
						request.daemon.name, outcome.endedAt - outcome.sentAt, outcome.failure));
			}
		}
		record.log(sent.size() + " requests, " + answered + " answered, " + lost + " lost in the stop");
		return (lost > 0) ? 1 : (!trouble && answered < sent.size()) ? 2 : 0;
	}

	/** A request and what became of it. */
	private static final class Sent {

		private String attempt;

		private DaemonProcess daemon;

		private Requester.Outcome outcome;

		private boolean ran;

	}

	/** The platform's entry: it forwards new connections to the daemons in rotation, as PROTOCOL.md says. */
	private static final class Entry {

		private final List<DaemonProcess> daemons;

		private final int[] misses;

		private final Record record;

		private int next;

		Entry(List<DaemonProcess> daemons, Record record) {
			this.daemons = daemons;
			this.misses = new int[daemons.size()];
			this.record = record;
		}

		void poll() {
			for (;;) {
				for (int i = 0; i < this.misses.length; i++) {
					boolean ready = this.daemons.get(i).isReady();
					synchronized (this) {
						this.misses[i] = ready ? 0 : this.misses[i] + 1;
						if (this.misses[i] == 2) {
							this.record.log("the platform takes " + this.daemons.get(i).name + " out of rotation");
						}
					}
				}
				Threads.sleep(1000);
			}
		}

		synchronized DaemonProcess choose() {
			List<DaemonProcess> rotation = new ArrayList<>();
			for (int i = 0; i < this.misses.length; i++) {
				if (this.misses[i] < 2) {
					rotation.add(this.daemons.get(i));
				}
			}
			// With fewer than half of the zone's daemons in rotation, all of them are used.
			List<DaemonProcess> used = (rotation.size() * 2 < this.daemons.size()) ? this.daemons : rotation;
			return used.get(this.next++ % used.size());
		}

	}

	/** Requests at a constant rate, each on a new connection. */
	private static final class Traffic {

		private final Entry entry;

		private final Record record;

		private final Random random = new Random(26);

		private final List<Sent> sent = new ArrayList<>();

		private volatile boolean stopped;

		Traffic(Entry entry, Record record) {
			this.entry = entry;
			this.record = record;
		}

		void send() {
			long dueNanos = System.nanoTime();
			for (int i = 0; !this.stopped; i++) {
				Sent request = new Sent();
				request.attempt = String.format("%016x", 0x26000 + i);
				int workMs = (int) (MEAN_WORK_MS
						* Math.min(1.6, Math.max(0.4, 1 + 0.3 * this.random.nextGaussian())));
				Threads.start(() -> send(request, workMs));
				dueNanos += 1_000_000_000L / REQUESTS_PER_S;
				Threads.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
			}
		}

		private void send(Sent request, int workMs) {
			request.daemon = this.entry.choose();
			request.outcome = Requester.send(request.daemon, "POST", "h.example", "/claim/" + workMs, request.attempt,
					DEADLINE_MS, new byte[1200], this.record);
			request.ran = WorkerStandIn.hasRun(request.attempt);
			synchronized (this.sent) {
				this.sent.add(request);
			}
		}

		void stop() {
			this.stopped = true;
		}

		List<Sent> outcomes() {
			synchronized (this.sent) {
				return List.copyOf(this.sent);
			}
		}

	}

}
