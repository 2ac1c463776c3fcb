package org.wigeonmast.manifest.store;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * The callback of one call, which converts its response into a reply.
 * <p>
 * Thread safety: usable from any thread. Invariant: reads at most one byte more than the
 * maximum size.
 */
final class StoreCallback implements Callback {

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private final CompletableFuture<StoreReply> future = new CompletableFuture<>();

	private final String url;

	private final int maxBytes;

	StoreCallback(String url, int maxBytes) {
		this.url = url;
		this.maxBytes = maxBytes;
	}

	CompletableFuture<StoreReply> future() {
		return this.future;
	}

	@Override
	public void onFailure(Call call, IOException exception) {
		this.future.complete(failed(String.valueOf(exception.getMessage()), exception));
	}

	@Override
	public void onResponse(Call call, Response response) {
		this.future.complete(toReply(response));
	}

	private StoreReply toReply(Response response) {
		try (response) {
			return switch (response.code()) {
				case OK -> readDocument(response);
				case NOT_MODIFIED -> new StoreReply.Unchanged();
				default -> failed("unexpected HTTP status " + response.code(), null);
			};
		}
		catch (IOException exception) {
			return failed(String.valueOf(exception.getMessage()), exception);
		}
	}

	private StoreReply readDocument(Response response) throws IOException {
		BufferedSource source = response.body().source();
		if (source.request(this.maxBytes + 1L)) {
			return failed("the document is larger than " + this.maxBytes + " bytes", null);
		}
		String entityTag = response.header("ETag");
		return new StoreReply.Document(source.getBuffer().readByteArray(), (entityTag != null) ? entityTag : "");
	}

	private StoreReply failed(String message, @Nullable IOException cause) {
		return new StoreReply.Failed(new ConfigurationStoreException(this.url, message, cause));
	}

}
