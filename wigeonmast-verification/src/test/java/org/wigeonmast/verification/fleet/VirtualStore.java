package org.wigeonmast.verification.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.daemon.internal.StoreCalls;
import org.wigeonmast.manifest.store.ConfigurationStoreException;
import org.wigeonmast.manifest.store.StoreReply;
import org.wigeonmast.testing.EventQueue;

/**
 * The configuration store in virtual time.
 * <p>
 * Thread safety: none. Invariant: while it is stale it serves the index from before, also
 * to daemons that start.
 */
final class VirtualStore implements StoreCalls {

	private static final long CALL_MICROSECONDS = 3000;

	private static final long WATCH_MICROSECONDS = 25_000_000;

	private static final byte[] NO_HOSTS = "{\"hosts\": []}".getBytes(StandardCharsets.UTF_8);

	private final List<Runnable> waiting = new ArrayList<>();

	private final Map<String, byte[]> parts = new HashMap<>();

	private final EventQueue queue;

	private final Runnable called;

	private PublishedManifest newest;

	private PublishedManifest served;

	private int tag;

	private boolean down;

	private boolean stale;

	VirtualStore(EventQueue queue, PublishedManifest first, Runnable called) {
		this.called = called;
		this.queue = queue;
		this.newest = first;
		this.served = first;
		this.parts.putAll(first.parts());
	}

	void publish(PublishedManifest manifest) {
		this.newest = manifest;
		if (!this.stale) {
			serve(manifest);
		}
	}

	void setDown(boolean down) {
		this.down = down;
		if (down) {
			wake();
		}
	}

	void setStale(boolean stale) {
		this.stale = stale;
		if (!stale && this.served != this.newest) {
			serve(this.newest);
		}
	}

	@Override
	public CompletableFuture<StoreReply> readIndex() {
		return later(this::index);
	}

	@Override
	public CompletableFuture<StoreReply> watchIndex(String entityTag) {
		if (this.down || !entityTag.equals(String.valueOf(this.tag))) {
			return readIndex();
		}
		CompletableFuture<StoreReply> reply = new CompletableFuture<>();
		this.waiting.add(() -> reply.complete(index()));
		this.queue.schedule(WATCH_MICROSECONDS, () -> reply.complete(new StoreReply.Unchanged()));
		return reply;
	}

	@Override
	public CompletableFuture<StoreReply> readPart(String hash) {
		return later(() -> document(this.parts.get(hash)));
	}

	@Override
	public CompletableFuture<StoreReply> watchHosts(String entityTag) {
		if (entityTag.isEmpty() || this.down) {
			return later(() -> document(NO_HOSTS));
		}
		CompletableFuture<StoreReply> reply = new CompletableFuture<>();
		this.queue.schedule(WATCH_MICROSECONDS, () -> reply.complete(new StoreReply.Unchanged()));
		return reply;
	}

	private void serve(PublishedManifest manifest) {
		this.served = manifest;
		this.parts.putAll(manifest.parts());
		this.tag++;
		wake();
	}

	private void wake() {
		List<Runnable> woken = new ArrayList<>(this.waiting);
		this.waiting.clear();
		woken.forEach(Runnable::run);
	}

	private StoreReply index() {
		return document(this.served.index());
	}

	private StoreReply document(byte @Nullable [] bytes) {
		if (this.down || bytes == null) {
			return new StoreReply.Failed(new ConfigurationStoreException("http://store", "the store is down", null));
		}
		return new StoreReply.Document(bytes, String.valueOf(this.tag));
	}

	private CompletableFuture<StoreReply> later(Supplier<StoreReply> result) {
		this.called.run();
		CompletableFuture<StoreReply> reply = new CompletableFuture<>();
		this.queue.schedule(CALL_MICROSECONDS, () -> reply.complete(result.get()));
		return reply;
	}

}
