package org.wigeonmast.admin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import io.vavr.control.Try;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.Step;

class AdminServerTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private final MetricRegistry metrics = new MetricRegistry();

	private final AuditTrail trail = new AuditTrail(MillisecondClock.system(), 8);

	private volatile Readiness readiness = new Readiness(true, "manifest 3");

	private volatile CompletableFuture<DaemonStatus> status = CompletableFuture
		.completedFuture(new DaemonStatus("d1", 7, "addis/a", true, "manifest 3", 10, 0,
				new DaemonStatus.ManifestStatus(3, "ab", 5), List.of(), List.of(), List.of()));

	private AdminServer server;

	@BeforeEach
	void start() throws Exception {
		ExplanationSource explanation = (
				host) -> CompletableFuture
					.completedFuture(host.equals("rb-1")
							? List.of(new ServerExplanation("d1", "rb-1", "10.0.0.1:80", "rota", "d2", "EJECTED", 0,
									"It was slow.", Map.of("p50", "90 ms"), this.trail.recordsSince(0, 9)))
							: List.of());
		this.server = new AdminServer(new HostAddress("127.0.0.1", 0),
				new AdminSources(() -> this.readiness, () -> this.status, explanation, this.trail, this.metrics));
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	private HttpResponse<String> get(String path) throws Exception {
		return this.client.send(HttpRequest.newBuilder(URI.create("http://" + this.server.address() + path)).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	@Test
	void readyAnswers503WithReasonWhenNotReady() throws Exception {
		Truth.assertThat(get("/ready").statusCode()).isEqualTo(200);
		this.readiness = new Readiness(false, "no manifest");
		Truth.assertThat(get("/ready").statusCode()).isEqualTo(503);
		Truth.assertThat(get("/ready").body()).contains("no manifest");
	}

	@Test
	void statusExplanationAndAuditAreJson() throws Exception {
		this.trail.add(new AuditEntry(1, AuditKind.EJECTED, "rb-1", Step.HEALTH, "d2", Map.of("p50", "90 ms")));
		Truth.assertThat(get("/status").body()).contains("\"version\" : 3");
		Truth.assertThat(get("/explain/rb-1").body()).contains("\"p50\" : \"90 ms\"");
		Truth.assertThat(get("/explain/rb-2").statusCode()).isEqualTo(404);
		Truth.assertThat(get("/audit").body()).contains("\"kind\" : \"EJECTED\"");
		Truth.assertThat(get("/audit?since=1").body()).isEqualTo("[ ]");
		Truth.assertThat(get("/audit?since=x").statusCode()).isEqualTo(400);
		Truth.assertThat(get("/other").statusCode()).isEqualTo(404);
	}

	/**
	 * Guards against requests that hang as long as the control thread does not answer.
	 */
	@Test
	void statusTimesOutWhenControlThreadHangs() throws Exception {
		this.status = new CompletableFuture<>();
		Truth.assertThat(get("/status").statusCode()).isEqualTo(504);
		Truth.assertThat(get("/ready").statusCode()).isEqualTo(200);
	}

	@Test
	void metricsAreInThePrometheusFormat() throws Exception {
		this.metrics.meter("proxy.requests").mark(3);
		this.metrics.timer("proxy.added-latency").update(Duration.ofMillis(2));
		this.metrics.gauge("odd", () -> () -> "text");
		Truth.assertThat(get("/metrics").body())
			.contains("# TYPE wigeonmast_proxy_requests_total counter\nwigeonmast_proxy_requests_total 3\n");
		Truth.assertThat(get("/metrics").body())
			.contains("wigeonmast_proxy_added_latency_seconds{quantile=\"0.99\"} 0.002\n");
	}

	@Test
	void startFailsWhenAddressIsInUse() {
		Throwable cause = Try
			.of(() -> new AdminServer(this.server.address(),
					new AdminSources(() -> this.readiness, () -> this.status,
							(host) -> CompletableFuture.completedFuture(List.of()), this.trail, this.metrics)))
			.getCause();
		Truth.assertThat(cause).isInstanceOf(AdminStartException.class);
		Truth.assertThat(cause).hasMessageThat().contains("section [admin]");
	}

}
