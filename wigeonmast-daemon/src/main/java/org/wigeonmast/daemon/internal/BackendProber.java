package org.wigeonmast.daemon.internal;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.wigeonmast.core.HostAddress;

/**
 * HTTP prober for backend servers on trial that get no work.
 * <p>
 * Thread safety: usable from any thread; results are delivered on a thread of the HTTP
 * client.
 */
final class BackendProber implements Prober, AutoCloseable {

	/**
	 * Timeout after which a probe counts as failed; a probe of a healthy server occupies
	 * a slot for 25 ms.
	 */
	private static final long TIMEOUT_MS = 500;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final OkHttpClient client = new OkHttpClient.Builder().followRedirects(false)
		.retryOnConnectionFailure(false)
		.callTimeout(Duration.ofMillis(TIMEOUT_MS))
		.build();

	@Override
	public void probe(HostAddress address, Consumer<Boolean> result) {
		Request request = new Request.Builder().url("http://" + address + "/").head().build();
		this.client.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException exception) {
				result.accept(false);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					result.accept(response.code() < MIN_SERVER_ERROR_STATUS);
				}
			}

		});
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

}
