import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/** A worker that registers itself in the store and serves requests as PROTOCOL.md describes. */
class WorkerStandIn implements AutoCloseable {

	private static final int HEARTBEAT_MS = 1500;

	/** Identifiers of the requests that any worker has begun to run, with the services that ran them. */
	private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();

	final String id;

	final String service;

	final Record record;

	private final StoreStandIn store;

	private final String zone;

	private final int slots;

	private final long born = System.currentTimeMillis();

	private final ServerSocket listener;

	private final Semaphore freeSlots;

	private int sequence;

	private volatile String state = "ready";

	private volatile boolean registered = true;

	private volatile boolean closed;

	WorkerStandIn(String id, String service, String address, String zone, int slots, StoreStandIn store, Record record)
			throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.store = store;
		this.record = record;
		this.freeSlots = new Semaphore(slots, true);
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
		heartbeat();
		Threads.start(this::accept);
		Threads.start(() -> {
			while (!this.closed) {
				Threads.sleep(HEARTBEAT_MS);
				heartbeat();
			}
		});
	}

	private synchronized void heartbeat() {
		if (!this.registered) {
			return;
		}
		this.sequence++;
		this.store.put("servers/" + this.id,
				"{\"service\":\"" + this.service + "\",\"address\":\""
						+ this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort()
						+ "\",\"zone\":\"" + this.zone + "\",\"version\":\"v1\",\"slots\":" + this.slots
						+ ",\"state\":\"" + this.state + "\",\"warmupLeft\":\"0ms\",\"born\":" + this.born
						+ ",\"sequence\":" + this.sequence + "}");
	}

	/** Reports that the worker is draining; the return is the store's ack. */
	final synchronized void drain() {
		this.state = "draining";
		heartbeat();
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				Threads.start(() -> serve(socket));
			}
			catch (IOException exception) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
			OutputStream out = socket.getOutputStream();
			for (Http.Message request = Http.readHead(in); request != null; request = Http.readHead(in)) {
				String attempt = request.header("X-Attempt-Id");
				String target = request.header("X-Target-Instance");
				if (target != null && !target.equals(this.id)) {
					Http.readBody(in, request, false);
					this.record.log("worker " + this.id + " answers 421 to " + attempt + " and does not run it");
					send(out, "421 Misdirected Request", "X-Attempt-Id: " + attempt + "\r\nX-Served-By: " + this.id
							+ "\r\nX-Not-Executed: 1\r\n", new byte[0]);
					continue;
				}
				if (!handle(socket, in, out, request, attempt)) {
					return;
				}
			}
		}
		catch (IOException exception) {
			// The daemon closed its connection.
		}
	}

	/** Handles a request and returns whether the connection stays open. */
	boolean handle(Socket socket, InputStream in, OutputStream out, Http.Message request, String attempt)
			throws IOException {
		Http.readBody(in, request, false);
		this.freeSlots.acquireUninterruptibly();
		try {
			recordRun(attempt);
			Threads.sleep(workMs(request));
			this.record.log("worker " + this.id + " (" + this.service + ") has run " + attempt);
		}
		finally {
			this.freeSlots.release();
		}
		byte[] body = ("answer of " + this.id + " to " + attempt).getBytes(StandardCharsets.US_ASCII);
		send(out, "200 OK", "X-Attempt-Id: " + attempt + "\r\nX-Upstream-Signature: " + signature(attempt)
				+ "\r\nKeep-Alive: timeout=10\r\n", body);
		return true;
	}

	/** Records that this worker begins to run a request. */
	final void recordRun(String attempt) {
		RUNS.computeIfAbsent(attempt, (key) -> new CopyOnWriteArrayList<>()).add(this.service);
		this.record.log("worker " + this.id + " (" + this.service + ") runs " + attempt);
	}

	/** Returns whether any worker has begun to run a request. */
	static boolean hasRun(String attempt) {
		return RUNS.containsKey(attempt);
	}

	/** Returns the services whose workers have begun to run a request. */
	static List<String> servicesOf(String attempt) {
		return RUNS.getOrDefault(attempt, List.of());
	}

	/** Returns the duration of the work that a request asks for in its path, 20 ms if it asks for none. */
	private static long workMs(Http.Message request) {
		String last = request.target().substring(request.target().lastIndexOf('/') + 1);
		return last.matches("\\d+") ? Long.parseLong(last) : 20;
	}

	final String signature(String attempt) {
		return "sig." + this.id + "." + attempt;
	}

	static void send(OutputStream out, String status, String headers, byte[] body) throws IOException {
		out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(body);
		out.flush();
	}

	@Override
	public final void close() throws IOException {
		this.closed = true;
		this.registered = false;
		this.listener.close();
	}

}
