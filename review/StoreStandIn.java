import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it: items, pages, watches and 20 s of history. */
final class StoreStandIn implements AutoCloseable {

	private static final long HISTORY_MS = 20_000;

	private static final int MAX_PAGE_ITEMS = 500;

	private static final int MAX_PAGE_BYTES = 1 << 20;

	private final ServerSocket listener;

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private long revision = 1;

	private long droppedUpTo;

	private volatile boolean closed;

	StoreStandIn(String address) throws IOException {
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
		Threads.start(this::accept);
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/** Writes an item and returns its revision; the return is the store's ack. */
	synchronized long put(String key, String value) {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		if (bytes.length > 1_048_576) {
			throw new IllegalArgumentException("the value is larger than valueBytes");
		}
		this.revision++;
		Item old = this.items.get(key);
		Item item = new Item(key, Base64.getEncoder().encodeToString(bytes), this.revision,
				(old != null) ? old.createRevision : this.revision);
		this.items.put(key, item);
		this.events.add(new Event(this.revision, item.json(), key, System.nanoTime()));
		notifyAll();
		return this.revision;
	}

	synchronized long remove(String key) {
		this.revision++;
		this.items.remove(key);
		this.events.add(new Event(this.revision,
				"{\"key\":\"" + key + "\",\"rev\":" + this.revision + ",\"removed\":true}", key, System.nanoTime()));
		notifyAll();
		return this.revision;
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
				answer(request.target(), out);
			}
		}
		catch (IOException | InterruptedException exception) {
			// The daemon closed its connection.
		}
	}

	private void answer(String target, OutputStream out) throws IOException, InterruptedException {
		int mark = target.indexOf('?');
		Map<String, String> query = new TreeMap<>();
		for (String pair : target.substring(mark + 1).split("&")) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
		}
		switch (target.substring(0, mark)) {
			case "/kv-key" -> key(query.get("key"), out);
			case "/kv-range" -> range(query.get("prefix"), query.getOrDefault("after", ""), out);
			case "/kv-watch" -> watch(query.get("prefix"), Long.parseLong(query.get("after")),
					Long.parseLong(query.get("waitMs")), out);
			default -> send(out, 404, "{}");
		}
	}

	private void key(String key, OutputStream out) throws IOException {
		String body;
		int status;
		synchronized (this) {
			Item item = this.items.get(key);
			status = (item != null) ? 200 : 404;
			String fields = (item != null) ? item.fields() + "," : "";
			body = "{" + fields + "\"currentRev\":" + this.revision + "}";
		}
		send(out, status, body);
	}

	private void range(String prefix, String after, OutputStream out) throws IOException {
		StringBuilder page = new StringBuilder("{\"items\":[");
		synchronized (this) {
			int count = 0;
			boolean more = false;
			for (Item item : this.items.values()) {
				if (!item.key.startsWith(prefix) || item.key.compareTo(after) <= 0) {
					continue;
				}
				if (count >= MAX_PAGE_ITEMS || page.length() >= MAX_PAGE_BYTES) {
					more = true;
					break;
				}
				page.append((count++ > 0) ? "," : "").append(item.json());
			}
			page.append("],\"hasMore\":").append(more).append(",\"currentRev\":").append(this.revision).append('}');
		}
		send(out, 200, page.toString());
	}

	private void watch(String prefix, long after, long waitMs, OutputStream out)
			throws IOException, InterruptedException {
		long end = System.nanoTime() + waitMs * 1_000_000;
		StringBuilder body = new StringBuilder("{\"events\":[");
		synchronized (this) {
			dropHistory();
			int count = 0;
			while (after >= this.droppedUpTo && count == 0) {
				for (Event event : this.events) {
					if (event.revision > after && event.key.startsWith(prefix)) {
						body.append((count++ > 0) ? "," : "").append(event.json);
					}
				}
				long remainingMs = (end - System.nanoTime()) / 1_000_000;
				if (count > 0 || remainingMs <= 0) {
					break;
				}
				wait(remainingMs);
			}
			if (after < this.droppedUpTo) {
				body = null;
			}
			else {
				body.append("],\"currentRev\":").append(this.revision).append('}');
			}
		}
		send(out, (body != null) ? 200 : 410, (body != null) ? body.toString() : "{}");
	}

	private void dropHistory() {
		long oldest = System.nanoTime() - HISTORY_MS * 1_000_000;
		while (!this.events.isEmpty() && this.events.get(0).atNanos < oldest) {
			this.droppedUpTo = this.events.remove(0).revision;
		}
	}

	private static void send(OutputStream out, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		out.write(("HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
				+ "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
		out.write(bytes);
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
	}

	private static final class Item {

		private final String key;

		private final String value;

		private final long revision;

		private final long createRevision;

		private Item(String key, String value, long revision, long createRevision) {
			this.key = key;
			this.value = value;
			this.revision = revision;
			this.createRevision = createRevision;
		}

		private String fields() {
			return "\"key\":\"" + this.key + "\",\"value\":\"" + this.value + "\",\"rev\":" + this.revision
					+ ",\"createRev\":" + this.createRevision + ",\"lease\":0";
		}

		private String json() {
			return "{" + fields() + "}";
		}

	}

	private static final class Event {

		private final long revision;

		private final String json;

		private final String key;

		private final long atNanos;

		private Event(long revision, String json, String key, long atNanos) {
			this.revision = revision;
			this.json = json;
			this.key = key;
			this.atNanos = atNanos;
		}

	}

}
