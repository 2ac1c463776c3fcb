package org.wigeonmast.daemon.internal;

import java.util.concurrent.CompletableFuture;

import org.wigeonmast.manifest.store.StoreReply;

/**
 * The calls to the configuration store.
 * <p>
 * Thread safety: called on the control loop; futures complete on any thread, never
 * exceptionally.
 */
public interface StoreCalls {

	/**
	 * Reads the index.
	 * @return the reply
	 */
	CompletableFuture<StoreReply> readIndex();

	/**
	 * Waits for another index.
	 * @param entityTag the tag of the known one
	 * @return the reply
	 */
	CompletableFuture<StoreReply> watchIndex(String entityTag);

	/**
	 * Reads a part.
	 * @param hash its hash
	 * @return the reply
	 */
	CompletableFuture<StoreReply> readPart(String hash);

	/**
	 * Waits for another host list.
	 * @param entityTag the tag of the known one, empty for none
	 * @return the reply
	 */
	CompletableFuture<StoreReply> watchHosts(String entityTag);

}
