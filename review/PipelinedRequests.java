import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * No case of the review, see REPORT.md. Users send a safe request behind a long download on the same connection; one
 * of three workers breaks off the downloads. Counts the safe requests that a sound worker has run and that have no
 * answer, as the rule LOST does.
 */
public final class PipelinedRequests {

	private static final int USERS = 12;

	private static final int ROUNDS = 3;

	/** More than the daemon holds back before it passes on an answer (1 MiB). */
	private static final int DOWNLOAD_BYTES = 2 << 20;

	private static final int WORK_MS = 300;

	private static final int DEADLINE_MS = 2500;

	/** The rule names more than three. */
	private static final int MAX_LOST = 3;

	private static final String CONFIGURATION = "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\","
			+ "\"prefix\",\"routeType\",\"timeout\",\"targetLatency\",\"priority\",\"service\",\"maxAttempts\","
			+ "\"trafficSplit\"],\"rows\":[[\"r-1\",\"h.example\",\"/sheet/\",\"download\",\"2000ms\",\"600ms\",1,"
			+ "\"print\",2,null],[\"r-2\",\"h.example\",\"/board/\",\"safe\",\"2000ms\",\"600ms\",1,\"board\",2,null]]},"
			+ "\"services\":{\"columns\":[\"name\",\"healthCheck\",\"maxConnections\",\"protocol\",\"tls\"],"
			+ "\"rows\":[[\"print\",\"/healthz\",330,\"h1\",false],[\"board\",\"/healthz\",330,\"h1\",false]]},"
			+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
			+ "\"idleTimeout\":\"15000ms\"}}";

	private PipelinedRequests() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		Path folder = Path.of(arguments[1]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		DaemonProcess daemon = null;
		try (Record record = new Record(Path.of(arguments[2]))) {
			try {
				String network = DaemonProcess.freeNetwork();
				StoreStandIn store = new StoreStandIn(network + "1");
				store.put("op/config", CONFIGURATION);
				for (int i = 1; i <= 3; i++) {
					new DownloadWorker("i-print" + i, network + (100 + i), store, record, trouble && i == 1);
					new WorkerStandIn("i-board" + i, "board", network + (200 + i), "a1", 2, store, record);
				}
				daemon = new DaemonProcess(new DaemonProcess.Installation(root, folder, network, store.address()), 1);
				daemon.start();
				daemon.awaitReady(30_000);
				status = play(daemon, record);
			}
			catch (IOException | RuntimeException exception) {
				record.log("the script could not run: " + exception);
			}
			record.log("exit " + status);
		}
		finally {
			if (daemon != null) {
				daemon.kill();
			}
		}
		System.exit(status);
	}

	private static int play(DaemonProcess daemon, Record record) throws InterruptedException {
		AtomicInteger lost = new AtomicInteger();
		AtomicInteger answered = new AtomicInteger();
		CountDownLatch done = new CountDownLatch(USERS);
		for (int i = 0; i < USERS; i++) {
			int user = i;
			Threads.start(() -> {
				for (int round = 0; round < ROUNDS; round++) {
					String prefix = String.format("%014x", 0x5000 + user * ROUNDS + round);
					if (visit(daemon, prefix, record)) {
						answered.incrementAndGet();
					}
					// The worker of an unanswered request has begun to run it by now, if it ever does.
					else if (runsSoon(prefix + "02")) {
						lost.incrementAndGet();
						record.log(prefix + "02 was run by a sound worker and has no answer");
					}
				}
				done.countDown();
			});
		}
		done.await();
		record.log("of " + USERS * ROUNDS + " safe requests behind a download, " + answered + " were answered; " + lost
				+ " were run by a sound worker and have no answer");
		return (lost.get() > MAX_LOST) ? 1 : 0;
	}

	private static boolean runsSoon(String attempt) {
		Threads.sleep(WORK_MS);
		return WorkerStandIn.hasRun(attempt);
	}

	// Uses a connection for a safe request, then for a download with a safe request behind it; returns whether the
	// last one was answered.
	private static boolean visit(DaemonProcess daemon, String prefix, Record record) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(daemon.ip, daemon.front), 1000);
			socket.setSoTimeout(DEADLINE_MS);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			send(socket, request("/board/20", prefix + "00"));
			receive(in);
			record.log("requester sends " + prefix + "01 (download) and " + prefix + "02 behind it");
			send(socket, request("/sheet/1", prefix + "01") + request("/board/" + WORK_MS, prefix + "02"));
			receive(in);
			receive(in);
			return true;
		}
		catch (IOException exception) {
			record.log("the connection of " + prefix + "01 and " + prefix + "02 ends: " + exception);
			return false;
		}
	}

	private static void send(Socket socket, String requests) throws IOException {
		socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
	}

	private static void receive(InputStream in) throws IOException {
		Http.Message answer = Http.readHead(in);
		if (answer == null) {
			throw new IOException("closed without an answer");
		}
		Http.readBody(in, answer, true);
	}

	private static String request(String path, String attempt) {
		return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: "
				+ DEADLINE_MS + "\r\n\r\n";
	}

	/** A worker that sends long answers, whole or broken off. */
	private static final class DownloadWorker extends WorkerStandIn {

		private final boolean breakingOff;

		DownloadWorker(String id, String address, StoreStandIn store, Record record, boolean breakingOff)
				throws IOException {
			super(id, "print", address, "a1", 2, store, record);
			this.breakingOff = breakingOff;
		}

		@Override
		boolean handle(Socket socket, InputStream in, OutputStream out, Http.Message request, String attempt)
				throws IOException {
			Http.readBody(in, request, false);
			recordRun(attempt);
			Threads.sleep(50);
			out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Upstream-Signature: "
					+ signature(attempt) + "\r\nContent-Length: " + DOWNLOAD_BYTES + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[this.breakingOff ? DOWNLOAD_BYTES / 4 * 3 : DOWNLOAD_BYTES]);
			out.flush();
			if (this.breakingOff) {
				Threads.sleep(50);
				this.record.log("worker " + this.id + " breaks off its answer to " + attempt);
			}
			return !this.breakingOff;
		}

	}

}
