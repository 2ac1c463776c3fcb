package org.wigeonmast.manifest.store;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.wigeonmast.manifest.internal.ManifestBounds;

/**
 * An HTTP client that reads and watches the platform's configuration store and host list.
 * <p>
 * Thread safety: usable from any thread; no call blocks. Invariants: each future
 * completes with a reply within the timeout of its call and never exceptionally; it
 * completes on a thread of this client. At most {@link #MAX_CONCURRENT_CALLS} calls run
 * concurrently, and the size of each reply is bounded.
 */
public final class ConfigurationStoreClient implements AutoCloseable {

	/** Maximum number of concurrent calls; further calls are queued. */
	public static final int MAX_CONCURRENT_CALLS = 8;

	/** Maximum size of the host list; 48,000 hosts take about 80 bytes each. */
	private static final int MAX_HOST_LIST_BYTES = 8_000_000;

	private static final String INDEX_PATH = "/manifest/index";

	private static final String PARTS_PATH = "/manifest/parts/";

	private static final String HOSTS_PATH = "/hosts";

	private static final int MILLISECONDS_PER_SECOND = 1_000;

	private static final int MAX_IDLE_CONNECTIONS = 3;

	private static final long KEEP_ALIVE_SECONDS = 30;

	private final String baseUrl;

	private final long watchWait;

	private final ExecutorService executor;

	private final OkHttpClient readClient;

	private final OkHttpClient watchClient;

	/**
	 * Creates a client.
	 * @param baseUrl the URL to which {@code /manifest/index} is appended, without a
	 * trailing slash
	 * @param callTimeout the timeout in milliseconds of a read
	 * @param watchWait the time in milliseconds for which the store holds a watch open
	 */
	public ConfigurationStoreClient(URI baseUrl, long callTimeout, long watchWait) {
		this.baseUrl = baseUrl.toString();
		this.watchWait = watchWait;
		// OkHttp starts the next queued call before the thread of the finished call is
		// free, so up to two threads per call are needed.
		this.executor = new ThreadPoolExecutor(0, 2 * MAX_CONCURRENT_CALLS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), Thread.ofPlatform().name("store-client-", 0).daemon().factory());
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
		this.readClient = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
			.followRedirects(false)
			.connectTimeout(Duration.ofMillis(callTimeout))
			.readTimeout(Duration.ofMillis(callTimeout))
			.callTimeout(Duration.ofMillis(callTimeout))
			.build();
		this.watchClient = this.readClient.newBuilder()
			.readTimeout(Duration.ofMillis(watchWait + callTimeout))
			.callTimeout(Duration.ofMillis(watchWait + callTimeout))
			.build();
	}

	/**
	 * Reads the index.
	 * @return the reply
	 */
	public CompletableFuture<StoreReply> readIndex() {
		return enqueue(this.readClient, newRequest(INDEX_PATH), ManifestBounds.MAX_DOCUMENT_BYTES);
	}

	/**
	 * Waits until the entity tag of the index differs from the given one.
	 * @param entityTag the entity tag of the index last read, empty for none
	 * @return the new index, or {@link StoreReply.Unchanged} after the wait time
	 */
	public CompletableFuture<StoreReply> watchIndex(String entityTag) {
		return enqueue(this.watchClient, newWatchRequest(INDEX_PATH, entityTag), ManifestBounds.MAX_DOCUMENT_BYTES);
	}

	/**
	 * Reads a part.
	 * @param hash the SHA-256 of the part in lower-case hexadecimal
	 * @return the reply, whose bytes have not been verified against the hash
	 */
	public CompletableFuture<StoreReply> readPart(String hash) {
		return enqueue(this.readClient, newRequest(PARTS_PATH + hash), ManifestBounds.MAX_DOCUMENT_BYTES);
	}

	/**
	 * Reads the host list.
	 * @return the reply
	 */
	public CompletableFuture<StoreReply> readHosts() {
		return enqueue(this.readClient, newRequest(HOSTS_PATH), MAX_HOST_LIST_BYTES);
	}

	/**
	 * Waits until the entity tag of the host list differs from the given one.
	 * @param entityTag the entity tag of the list last read, empty for none
	 * @return the new list, or {@link StoreReply.Unchanged} after the wait time
	 */
	public CompletableFuture<StoreReply> watchHosts(String entityTag) {
		return enqueue(this.watchClient, newWatchRequest(HOSTS_PATH, entityTag), MAX_HOST_LIST_BYTES);
	}

	/**
	 * Cancels all calls; their futures complete with {@link StoreReply.Failed}.
	 */
	@Override
	public void close() {
		this.readClient.dispatcher().cancelAll();
		this.executor.shutdown();
		this.readClient.connectionPool().evictAll();
	}

	private Request.Builder newRequest(String path) {
		return new Request.Builder().url(this.baseUrl + path);
	}

	private Request.Builder newWatchRequest(String path, String entityTag) {
		Request.Builder request = newRequest(path);
		if (!entityTag.isEmpty()) {
			request.header("If-None-Match", entityTag);
			request.header("Prefer", "wait=" + this.watchWait / MILLISECONDS_PER_SECOND);
		}
		return request;
	}

	private static CompletableFuture<StoreReply> enqueue(OkHttpClient client, Request.Builder builder, int maxBytes) {
		Request request = builder.build();
		StoreCallback callback = new StoreCallback(request.url().toString(), maxBytes);
		client.newCall(request).enqueue(callback);
		return callback.future();
	}

}
