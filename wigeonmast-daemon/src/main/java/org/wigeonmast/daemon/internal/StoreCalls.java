package org.wigeonmast.daemon.internal;

import java.util.concurrent.CompletableFuture;

import org.wigeonmast.manifest.store.StoreReply;

/**
 * Asynchronous calls to the configuration store.
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
	 * Waits until the index changes.
	 * @param entityTag the entity tag of the known index
	 * @return the reply
	 */
	CompletableFuture<StoreReply> watchIndex(String entityTag);

	/**
	 * Reads a part.
	 * @param hash the hash of the part
	 * @return the reply
	 */
	CompletableFuture<StoreReply> readPart(String hash);

	/**
	 * Waits until the host list changes.
	 * @param entityTag the entity tag of the known host list, empty if none is known
	 * @return the reply
	 */
	CompletableFuture<StoreReply> watchHosts(String entityTag);

}
