package org.wigeonmast.manifest.store;

/**
 * The reply of the configuration store to one call.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface StoreReply {

	/**
	 * A document.
	 *
	 * @param bytes the bytes of the document
	 * @param entityTag the entity tag for the next watch, empty if the store sent none
	 */
	record Document(byte[] bytes, String entityTag) implements StoreReply {
	}

	/**
	 * The document still has the entity tag that the call sent.
	 */
	record Unchanged() implements StoreReply {
	}

	/**
	 * The call failed.
	 *
	 * @param cause the failure
	 */
	record Failed(ConfigurationStoreException cause) implements StoreReply {
	}

}
