package org.wigeonmast.daemon.internal;

import java.util.concurrent.CompletableFuture;

import org.wigeonmast.manifest.store.ConfigurationStoreClient;
import org.wigeonmast.manifest.store.StoreReply;

/**
 * {@link StoreCalls} over HTTP.
 * <p>
 * Thread safety: usable from any thread.
 *
 * @param client the client of the configuration store
 */
record ClientStoreCalls(ConfigurationStoreClient client) implements StoreCalls {

	@Override
	public CompletableFuture<StoreReply> readIndex() {
		return this.client.readIndex();
	}

	@Override
	public CompletableFuture<StoreReply> watchIndex(String entityTag) {
		return this.client.watchIndex(entityTag);
	}

	@Override
	public CompletableFuture<StoreReply> readPart(String hash) {
		return this.client.readPart(hash);
	}

	@Override
	public CompletableFuture<StoreReply> watchHosts(String entityTag) {
		return this.client.watchHosts(entityTag);
	}

}
