package org.wigeonmast.verification;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.wigeonmast.cli.standin.ResponseBody;

import static com.google.common.truth.Truth.assertThat;

/**
 * A request passes from a caller through a daemon to a backend server and back.
 */
class WholePathTests {

	private static final int PARALLEL_REQUESTS = 64;

	private static LoopbackFleet fleet;

	private static OkHttpClient client;

	private static int sequence;

	@BeforeContainer
	static void start() throws Exception {
		fleet = new LoopbackFleet(2);
		fleet.publish(1);
		fleet.startDaemon("daemon-1");
		fleet.awaitReady();
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(PARALLEL_REQUESTS);
		dispatcher.setMaxRequestsPerHost(PARALLEL_REQUESTS);
		client = new OkHttpClient.Builder().dispatcher(dispatcher).build();
	}

	@AfterContainer
	static void stop() {
		client.dispatcher().cancelAll();
		client.dispatcher().executorService().shutdown();
		client.connectionPool().evictAll();
		fleet.close();
	}

	// Guards against answers that reach another caller, are cut short, or are run twice.
	@Property(tries = 10, seed = "20261204")
	void everyCallerGetsItsOwnWholeAnswer(@ForAll @Size(min = 1, max = 32) List<@IntRange(max = 9) Integer> kinds) {
		Map<String, CompletableFuture<byte[]>> answers = new ConcurrentHashMap<>();
		for (int kind : kinds) {
			boolean printing = kind == 0;
			String id = "request-" + sequence++;
			answers.put(id + ((printing) ? "/print" : "/claim"), send(id, (printing) ? "/print/1" : "/claim/1"));
		}
		answers.forEach((key, answer) -> {
			String id = key.substring(0, key.indexOf('/'));
			int size = key.endsWith("/print") ? LoopbackFleet.LONG_SIZE : LoopbackFleet.SHORT_SIZE;
			assertThat(answer.join()).isEqualTo(ResponseBody.of(id, size));
			long runs = fleet.servers()
				.stream()
				.flatMap((server) -> server.startedRequests().stream())
				.filter(id::equals)
				.count();
			assertThat(runs).isEqualTo(1);
		});
	}

	private static CompletableFuture<byte[]> send(String id, String path) {
		CompletableFuture<byte[]> body = new CompletableFuture<>();
		Request request = new Request.Builder().url(fleet.url(0, path)).header("X-Request-Id", id).build();
		client.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException exception) {
				body.completeExceptionally(exception);
			}

			@Override
			public void onResponse(Call call, Response response) throws IOException {
				try (response) {
					body.complete(response.body().bytes());
				}
				catch (IOException exception) {
					body.completeExceptionally(exception);
				}
			}

		});
		return body;
	}

}
