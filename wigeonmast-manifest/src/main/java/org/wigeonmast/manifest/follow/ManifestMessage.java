package org.wigeonmast.manifest.follow;

import java.util.List;

/**
 * A message between the manifest followers of two daemons.
 * <p>
 * Thread safety: immutable; byte arrays must not be changed.
 */
public sealed interface ManifestMessage {

	/**
	 * Tells which version is in force at the sender.
	 *
	 * @param stamp the version in force
	 */
	record Announcement(VersionStamp stamp) implements ManifestMessage {
	}

	/**
	 * Asks for the version in force.
	 *
	 * @param number identifies the question
	 */
	record Query(long number) implements ManifestMessage {
	}

	/**
	 * Answers a query.
	 *
	 * @param number the number of the query
	 * @param stamp the version in force
	 * @param ready whether the sender has itself asked a majority of its region
	 */
	record QueryReply(long number, VersionStamp stamp, boolean ready) implements ManifestMessage {
	}

	/**
	 * Asks for an index.
	 *
	 * @param hash the hash of the index
	 * @param base the hash of the index in force at the sender, empty for none
	 */
	record IndexRequest(String hash, String base) implements ManifestMessage {
	}

	/**
	 * Answers an index request.
	 *
	 * @param hash the hash of the index
	 * @param content the index
	 */
	record IndexReply(String hash, Content content) implements ManifestMessage {
	}

	/**
	 * Asks for parts, each of which is answered by one reply.
	 *
	 * @param index the hash of the index to which the parts belong
	 * @param base the hash of the index in force at the sender, empty for none
	 * @param hashes the hashes of the parts
	 */
	record PartRequest(String index, String base, List<String> hashes) implements ManifestMessage {

		public PartRequest {
			hashes = List.copyOf(hashes);
		}
	}

	/**
	 * Answers a part request for one part.
	 *
	 * @param hash the hash of the part
	 * @param content the part
	 */
	record PartReply(String hash, Content content) implements ManifestMessage {
	}

}
