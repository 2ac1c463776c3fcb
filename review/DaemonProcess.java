import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon, started with the command of the deploy file, on a loopback address of its own. */
final class DaemonProcess {

	/** Port of the metrics in the deploy file. */
	private static final int METRICS_PORT = 9464;

	/** Exit status of a case in which the rule was broken. */
	static final int EXIT_BROKEN = 10;

	private static final List<DaemonProcess> STARTED = new CopyOnWriteArrayList<>();

	static {
		// Ends the daemons also when the case itself is ended by a signal.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(DaemonProcess::kill)));
	}

	final String name;

	final String ip;

	final int front;

	final int readiness;

	private final Path root;

	private final Path folder;

	private final String settings;

	private Process process;

	/** Settings of an installation, shared by its daemons. */
	static final class Installation {

		final Path root;

		final Path folder;

		final String store;

		final String network;

		final int front;

		final int readiness;

		final int control;

		final int internal;

		Installation(Path root, Path folder, String network, String store) throws IOException {
			this.root = root;
			this.folder = folder;
			this.network = network;
			this.store = store;
			this.front = freePort();
			this.readiness = freePort();
			this.control = freePort();
			try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(network + "11"))) {
				this.internal = socket.getLocalPort();
			}
		}

		private int freePort() throws IOException {
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(InetAddress.getByName(this.network + "11"), 0));
				return socket.getLocalPort();
			}
		}

	}

	/** Returns the first three bytes of loopback addresses on which the metrics port is free. */
	static String freeNetwork() throws IOException {
		for (int i = 0; i < 200; i++) {
			String network = "127." + (20 + (int) (Math.random() * 200)) + "." + (int) (Math.random() * 250) + ".";
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(InetAddress.getByName(network + "11"), METRICS_PORT));
				return network;
			}
			catch (IOException exception) {
				// Another process has the port on all addresses or on this one.
				continue;
			}
		}
		throw new IOException("the metrics port " + METRICS_PORT + " is in use");
	}

	DaemonProcess(Installation place, int number) {
		this.root = place.root;
		this.folder = place.folder;
		this.name = "edge-a1-" + number;
		this.ip = place.network + (10 + number);
		this.front = place.front;
		this.readiness = place.readiness;
		String seeds = place.network + "11:" + place.control + "," + place.network + "12:" + place.control;
		this.settings = String.join("\n", List.of("nodeName=" + this.name, "role=daemon", "machineClass=edge",
				"serves=edge,control", "ip=" + this.ip, "zone=a1", "region=a", "zones.a1=a",
				"listen.front=" + this.ip + ":" + this.front, "listen.readiness=" + this.ip + ":" + this.readiness,
				"listen.control=" + this.ip + ":" + place.control,
				"internalPortRange=" + place.internal + "," + place.internal, "seeds=" + seeds, "bootstrap=true",
				"inFaultBudget=false", "limits.cpuShare=0.6", "limits.cores=1", "limits.memoryMb=430",
				"limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip",
				"heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,health,platform",
				"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
				"bounds.seedLag=3s", "bounds.reuseAfter=2s", "bounds.stabilityWindow=3000ms", "bounds.ack=4000ms",
				"bounds.catchUp=4s", "bounds.drain=2500ms", "bounds.grace=6s", "bounds.lost_time=200ms",
				"bounds.configApply=2500ms", "bounds.rollbackSlack=250ms", "bounds.maxSkew=5000ms",
				"bounds.retryBudgetRatio=0.2", "bounds.budgetWindow=10s", "bounds.budgetSlack=58",
				"bounds.recover=15s", "bounds.probesPerS=3", "bounds.floorShare=0.7",
				"platform.address=" + place.store, "platform.form=read", "platform.writesPerS=400",
				"platform.readsPerS=2000", "platform.history=20s", "platform.valueBytes=1048576",
				"platform.ttlMin=1000ms")) + "\n";
	}

	void start() throws IOException {
		Path file = this.folder.resolve(this.name + ".conf");
		Files.writeString(file, this.settings);
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
			.matcher(Files.readString(this.root.resolve("deploy").resolve("system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no line run");
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("WIGEONMAST_NODE_FILE", file.toString());
		this.process = builder.start();
		STARTED.add(this);
	}

	/** Asks for readiness as the platform does. */
	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(1000);
			socket.connect(new InetSocketAddress(this.ip, this.readiness), 1000);
			socket.getOutputStream()
				.write(("GET /ready HTTP/1.1\r\nHost: " + this.ip + "\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			InputStream in = socket.getInputStream();
			Http.Message answer = Http.readHead(in);
			return answer != null && answer.status() == HttpURLConnection.HTTP_OK;
		}
		catch (IOException exception) {
			return false;
		}
	}

	void awaitReady(long timeoutMs) throws IOException {
		long end = System.nanoTime() + timeoutMs * 1_000_000;
		while (!isReady()) {
			if (System.nanoTime() > end || !this.process.isAlive()) {
				throw new IOException(this.name + " did not become ready");
			}
			Threads.sleep(100);
		}
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	boolean awaitEnd(long milliseconds) {
		try {
			return this.process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException exception) {
			throw new IllegalStateException(exception);
		}
	}

	/** Sends SIGKILL. */
	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
			awaitEnd(5000);
		}
	}

}
