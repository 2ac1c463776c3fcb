package org.wigeonmast.verification;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A caller repeats a non-idempotent request at another daemon.
 */
class RepeatedRequestTests {

	private static final int OK = 200;

	private final OkHttpClient client = new OkHttpClient();

	// Guards against a repeat at another daemon that runs the request a second time.
	@Test
	void repeatAtAnotherDaemonDoesNotRunAgain() throws Exception {
		try (LoopbackFleet fleet = new LoopbackFleet(2)) {
			fleet.publish(1);
			fleet.startDaemon("daemon-1");
			fleet.startDaemon("daemon-2");
			fleet.awaitReady();
			// Keys cannot be registered for one lease after the start of a fleet.
			LoopbackFleet.await(() -> status(fleet, 0, "probe", "key-" + System.nanoTime()) == OK,
					"keys are registered");
			assertThat(status(fleet, 0, "first", "key-1")).isEqualTo(OK);
			assertThat(status(fleet, 1, "repeat", "key-1")).isNotEqualTo(OK);
			assertThat(status(fleet, 0, "again", "key-1")).isNotEqualTo(OK);
			assertThat(status(fleet, 1, "other", "key-2")).isEqualTo(OK);
			List<String> runs = fleet.servers()
				.stream()
				.flatMap((server) -> server.startedRequests().stream())
				.toList();
			assertThat(runs).contains("first");
			assertThat(runs).containsNoneOf("repeat", "again");
		}
		finally {
			this.client.dispatcher().executorService().shutdown();
			this.client.connectionPool().evictAll();
		}
	}

	private int status(LoopbackFleet fleet, int daemon, String id, String key) {
		Request request = new Request.Builder().url(fleet.url(daemon, "/claim/1"))
			.header("X-Request-Id", id)
			.header("Idempotency-Key", key)
			.header("Request-Attempt", (id.equals("repeat") || id.equals("again")) ? "2" : "1")
			.post(RequestBody.create("ladle".getBytes(StandardCharsets.UTF_8)))
			.build();
		try (Response response = this.client.newCall(request).execute()) {
			return response.code();
		}
		catch (IOException exception) {
			throw new AssertionError(exception);
		}
	}

}
