package org.wigeonmast.cli.standin;

import java.io.IOException;
import java.util.List;

import com.google.common.truth.Truth;
import io.vavr.control.Try;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandInBackendServerTests {

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false).build();

	private StandInBackendServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = new StandInBackendServer("rb-1", 1, 0, List.of(new RequestProfile("/rota", 1, 100)), 7);
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	private Response get(String id) throws IOException {
		return this.client
			.newCall(new Request.Builder().url("http://" + this.server.address() + "/rota")
				.header(StandInBackendServer.REQUEST_ID_HEADER, id)
				.build())
			.execute();
	}

	@Test
	void responseBelongsToTheRequest() throws Exception {
		try (Response response = get("r1")) {
			Truth.assertThat(response.code()).isEqualTo(200);
			Truth.assertThat(response.body().bytes()).isEqualTo(ResponseBody.of("r1", 100));
		}
		Truth.assertThat(this.server.startedRequests()).containsExactly("r1");
	}

	/** Guards against responses that claim "not run" for a request that was run. */
	@Test
	void refusedRequestIsNotRun() throws Exception {
		this.server.setFaults(ServerFaults.none().withLeaving());
		try (Response response = get("r1")) {
			Truth.assertThat(response.code()).isEqualTo(503);
			Truth.assertThat(response.header(StandInBackendServer.REQUEST_EXECUTION_HEADER)).isEqualTo("not-run");
			Truth.assertThat(response.header(StandInBackendServer.SERVER_STATE_HEADER)).isEqualTo("leaving");
		}
		Truth.assertThat(this.server.startedRequests()).isEmpty();
	}

	@Test
	void failingAndTruncatedRequestsAreRecordedAsStarted() throws Exception {
		this.server.setFaults(ServerFaults.none().withFailureShare(1));
		try (Response response = get("r1")) {
			Truth.assertThat(response.code()).isEqualTo(500);
		}
		this.server.setFaults(ServerFaults.none().withTruncation());
		try (Response response = get("r2")) {
			Truth.assertThat(Try.of(() -> response.body().bytes()).getCause()).isInstanceOf(IOException.class);
		}
		Truth.assertThat(this.server.startedRequests()).containsExactly("r1", "r2").inOrder();
	}

}
