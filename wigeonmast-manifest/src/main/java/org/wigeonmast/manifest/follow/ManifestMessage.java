package org.wigeonmast.manifest.follow;

import java.util.List;

/**
 * A message between the manifest followers of two daemons.
 * <p>
 * Thread safety: immutable; byte arrays must not be changed.
 */
public sealed interface ManifestMessage {

	/**
	 * Announces the version in force at the sender.
	 *
	 * @param stamp the version in force
	 */
	record Announcement(VersionStamp stamp) implements ManifestMessage {
	}

	/**
	 * Queries the version in force.
	 *
	 * @param number the number of the query, which the reply repeats
	 */
	record Query(long number) implements ManifestMessage {
	}

	/**
	 * Replies to a query.
	 *
	 * @param number the number of the query
	 * @param stamp the version in force
	 * @param ready whether the sender is ready itself, having queried a majority of its
	 * region
	 */
	record QueryReply(long number, VersionStamp stamp, boolean ready) implements ManifestMessage {
	}

	/**
	 * Requests an index.
	 *
	 * @param hash the hash of the index
	 * @param base the hash of the index in force at the sender, which may serve as base
	 * for compression, empty for none
	 */
	record IndexRequest(String hash, String base) implements ManifestMessage {
	}

	/**
	 * Replies to an index request.
	 *
	 * @param hash the hash of the index
	 * @param content the index
	 */
	record IndexReply(String hash, Content content) implements ManifestMessage {
	}

	/**
	 * Requests parts, each of which is returned in a reply of its own.
	 *
	 * @param index the hash of the index to which the parts belong
	 * @param base the hash of the index in force at the sender, which may serve as base
	 * for compression, empty for none
	 * @param hashes the hashes of the parts
	 */
	record PartRequest(String index, String base, List<String> hashes) implements ManifestMessage {

		public PartRequest {
			hashes = List.copyOf(hashes);
		}
	}

	/**
	 * Replies to a part request with one part.
	 *
	 * @param hash the hash of the part
	 * @param content the part
	 */
	record PartReply(String hash, Content content) implements ManifestMessage {
	}

}
