package org.wigeonmast.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonmast.admin.AdminServer;
import org.wigeonmast.admin.AdminSources;
import org.wigeonmast.admin.AuditTrail;
import org.wigeonmast.admin.DaemonStatus;
import org.wigeonmast.admin.Readiness;
import org.wigeonmast.admin.ServerExplanation;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.Step;

class CommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	private AdminServer server;

	@BeforeEach
	void start() throws Exception {
		AuditTrail trail = new AuditTrail(MillisecondClock.system(), 8);
		trail.add(new AuditEntry(1, AuditKind.EJECTED, "rb-1", Step.HEALTH, "d1", Map.of("p50", "90 ms\u001b[2J")));
		DaemonStatus status = new DaemonStatus("d1", 7, "addis/a", true, "serving", 1_000, 2,
				new DaemonStatus.ManifestStatus(3, "0123456789abcdef", 5), List.of("The store does not answer."),
				List.of(new DaemonStatus.MemberEntry("d1", 7, "127.0.0.1:7400", "addis/a", "READY", "LIVE")),
				List.of(new DaemonStatus.ServiceEntry("rota", "d1", "direct", 3, 2, 2, List.of("rb-1"))));
		this.server = new AdminServer(new HostAddress("127.0.0.1", 0), new AdminSources(() -> new Readiness(true, ""),
				() -> CompletableFuture.completedFuture(status),
				(host) -> CompletableFuture.completedFuture(host.equals("rb-1")
						? List.of(new ServerExplanation("d1", "rb-1", "10.0.0.1:80", "rota", "d1", "EJECTED", 0,
								"It is slower than its peers.", Map.of("p50", "90 ms"), trail.recordsSince(0, 9)))
						: List.of()),
				trail, new MetricRegistry()));
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	private int run(String... arguments) {
		return new Main(new PrintStream(this.out), new PrintStream(this.errors)).run(arguments);
	}

	@Test
	void statusExplainAndAuditPrintTheResponseOfTheDaemon() {
		String admin = this.server.address().toString();
		Truth.assertThat(run("status", "--admin", admin, "--all")).isEqualTo(ExitStatus.OK);
		Truth.assertThat(this.out.toString()).contains("d1#7    addis/a  yes    3         0123456789ab");
		Truth.assertThat(this.out.toString()).contains("ALARM d1: The store does not answer.");
		Truth.assertThat(run("explain", "rb-1", "-a", admin)).isEqualTo(ExitStatus.OK);
		Truth.assertThat(this.out.toString()).contains("d1: It is slower than its peers.\n  p50: 90 ms\n");
		Truth.assertThat(run("audit", "-a", admin)).isEqualTo(ExitStatus.OK);
		Truth.assertThat(this.out.toString()).contains(" #1 EJECTED rb-1 at HEALTH by d1; p50=90 ms");
	}

	/** Guards against escape sequences from a peer in the operator's terminal. */
	@Test
	void controlCharactersAreReplaced() {
		run("audit", "-a", this.server.address().toString());
		Truth.assertThat(this.out.toString()).contains("90 ms?[2J");
	}

	@Test
	void daemonsThatDoNotAnswerAreReported() {
		Truth.assertThat(run("status", "-a", "127.0.0.1:1")).isEqualTo(ExitStatus.UNAVAILABLE);
		Truth.assertThat(this.errors.toString()).contains("ADMIN 127.0.0.1:1: ");
		Truth.assertThat(run("status", "-a", "127.0.0.1:1", "-a", this.server.address().toString()))
			.isEqualTo(ExitStatus.PARTIAL);
		Truth.assertThat(run("explain", "other", "-a", this.server.address().toString())).isEqualTo(ExitStatus.NO_HOST);
	}

	@Test
	void invalidCommandLineIsRefused() {
		for (String[] arguments : new String[][] { {}, { "check" }, { "stat" }, { "explain" }, { "explain", "a", "b" },
				{ "status", "-a", "x" }, { "status", "--loud" }, { "audit", "--since", "x" } }) {
			Truth.assertThat(run(arguments)).isEqualTo(ExitStatus.USAGE);
		}
		Truth.assertThat(run("--help")).isEqualTo(ExitStatus.OK);
		Truth.assertThat(run("--version")).isEqualTo(ExitStatus.OK);
	}

	/** Guards against requests that are not found in a file without an error. */
	@Test
	void traceReadsLogsFromFiles(@TempDir Path directory) throws Exception {
		Path log = directory.resolve("edge-1.log");
		Files.writeString(log,
				"{\"time\":\"2026-03-26T00:00:01Z\",\"entry\":{\"event\":1201,"
						+ "\"message\":\"answered 500 by i-7 after 2 ms and 1 attempts\",\"name\":\"ANSWERED\","
						+ "\"request\":\"9c41\"}}\ntorn\n");
		Truth.assertThat(run("trace", "9c41", log.toString())).isEqualTo(ExitStatus.OK);
		Truth.assertThat(this.out.toString()).contains("edge-1.log  1201  answered 500 by i-7");
		Truth.assertThat(this.errors.toString()).contains("1 lines are not log events");
		Truth.assertThat(run("trace", "0000", log.toString())).isEqualTo(ExitStatus.NO_REQUEST);
		Truth.assertThat(run("trace", "9c41", directory.resolve("absent").toString())).isEqualTo(ExitStatus.NO_INPUT);
		Truth.assertThat(run("trace")).isEqualTo(ExitStatus.USAGE);
	}

	/** Guards against invalid examples in the documentation. */
	@Test
	void examplesOfTheDocumentationAreValid() {
		Truth.assertThat(run("check", "../docs/examples/wigeonmastd.ini", "../docs/examples/manifest"))
			.isEqualTo(ExitStatus.OK);
		Truth.assertThat(run("check", "../docs/examples/absent.ini")).isEqualTo(ExitStatus.NO_INPUT);
		Truth.assertThat(run("check", "pom.xml", "../docs/examples")).isEqualTo(ExitStatus.DATA);
		Truth.assertThat(this.errors.toString()).contains("there is no service");
	}

}
