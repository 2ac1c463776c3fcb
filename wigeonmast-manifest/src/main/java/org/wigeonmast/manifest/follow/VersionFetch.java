package org.wigeonmast.manifest.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * The state of fetching the index and the parts of one version.
 * <p>
 * Thread safety: none. Invariants: only bytes that have the expected hash and size are
 * kept; each part is requested from one source at a time.
 */
final class VersionFetch {

	private static final int MAX_SOURCES = 8;

	private static final int ATTEMPTS_PER_SOURCE = 3;

	private final VersionStamp stamp;

	private final long announcedAt;

	private final List<HostAddress> localSources = new ArrayList<>();

	private final List<HostAddress> remoteSources = new ArrayList<>();

	private final Map<String, byte[]> parts = new HashMap<>();

	/** Deadlines of pending requests by the hash of the part or of the index. */
	private final Map<String, Long> requestDeadlines = new HashMap<>();

	private boolean inStore;

	private byte @Nullable [] indexBytes;

	private @Nullable ManifestIndex index;

	private int attempt;

	private int failures;

	VersionFetch(VersionStamp stamp, long announcedAt) {
		this.stamp = stamp;
		this.announcedAt = announcedAt;
	}

	VersionStamp stamp() {
		return this.stamp;
	}

	@Nullable ManifestIndex index() {
		return this.index;
	}

	byte @Nullable [] indexBytes() {
		return this.indexBytes;
	}

	Map<String, byte[]> parts() {
		return this.parts;
	}

	void addSource(HostAddress source, boolean local) {
		List<HostAddress> sources = (local) ? this.localSources : this.remoteSources;
		if (sources.size() < MAX_SOURCES && !sources.contains(source)) {
			sources.add(source);
		}
	}

	void removeSource(HostAddress source) {
		this.localSources.remove(source);
		this.remoteSources.remove(source);
	}

	void setInStore(boolean value) {
		this.inStore = value;
	}

	boolean hasSource() {
		return this.inStore || !this.localSources.isEmpty() || !this.remoteSources.isEmpty();
	}

	/**
	 * Returns the time at which fetching may start. While no member of the region has the
	 * content, all daemons except the first store reader wait, so that it is transferred
	 * into the region only once.
	 * @param delay the delay in milliseconds while no local source is known
	 * @return the monotonic time in milliseconds
	 */
	long earliestStart(long delay) {
		return (this.localSources.isEmpty()) ? this.announcedAt + delay : this.announcedAt;
	}

	/**
	 * Returns the source of the current attempt.
	 * @return the address of a peer, or {@code null} for the store
	 */
	@Nullable HostAddress source() {
		List<HostAddress> sources = new ArrayList<>(this.localSources);
		if (this.inStore) {
			sources.add(null);
		}
		sources.addAll(this.remoteSources);
		return (sources.isEmpty()) ? null : sources.get(this.attempt % sources.size());
	}

	void tryNextSource() {
		this.attempt++;
		this.failures++;
		this.requestDeadlines.clear();
	}

	boolean isInStore() {
		return this.inStore;
	}

	/**
	 * Returns whether every source has failed repeatedly without delivering anything in
	 * between.
	 * @return whether the fetch should be abandoned
	 */
	boolean isExhausted() {
		int sources = this.localSources.size() + this.remoteSources.size() + ((this.inStore) ? 1 : 0);
		return this.failures >= ATTEMPTS_PER_SOURCE * sources;
	}

	void putIndex(byte[] bytes, ManifestIndex newIndex) {
		this.indexBytes = bytes;
		this.index = newIndex;
		this.failures = 0;
		this.requestDeadlines.remove(newIndex.hash());
	}

	void putPart(String hash, byte[] bytes) {
		this.parts.put(hash, bytes);
		this.failures = 0;
		this.requestDeadlines.remove(hash);
	}

	/**
	 * Reuses the parts that are identical in another version.
	 * @param otherParts the parts of the other version by hash
	 */
	void reuseParts(Map<String, byte[]> otherParts) {
		if (this.index != null) {
			for (ManifestPart part : this.index.parts()) {
				byte[] bytes = otherParts.get(part.hash());
				if (bytes != null) {
					this.parts.putIfAbsent(part.hash(), bytes);
				}
			}
		}
	}

	/**
	 * Returns the part with a hash if it is still missing.
	 * @param hash the hash
	 * @return the part, or {@code null} if it has been fetched or is not in the index
	 */
	@Nullable ManifestPart missingPart(String hash) {
		if (this.index == null || this.parts.containsKey(hash)) {
			return null;
		}
		return this.index.parts().stream().filter((part) -> part.hash().equals(hash)).findFirst().orElse(null);
	}

	boolean isComplete() {
		return this.index != null
				&& this.index.parts().stream().allMatch((part) -> this.parts.containsKey(part.hash()));
	}

	/**
	 * Returns the hashes to request now and registers the requests as pending.
	 * @param maxPending the maximum number of pending requests
	 * @param deadline the monotonic time in milliseconds at which the requests time out
	 * @return the hash of the index or the hashes of parts, empty if nothing is to be
	 * requested
	 */
	List<String> startRequests(int maxPending, long deadline) {
		List<String> hashes = new ArrayList<>();
		if (this.index == null) {
			if (this.requestDeadlines.isEmpty()) {
				hashes.add(this.stamp.hash());
			}
		}
		else {
			for (ManifestPart part : this.index.parts()) {
				if (this.requestDeadlines.size() + hashes.size() >= maxPending) {
					break;
				}
				if (!this.parts.containsKey(part.hash()) && !this.requestDeadlines.containsKey(part.hash())
						&& !hashes.contains(part.hash())) {
					hashes.add(part.hash());
				}
			}
		}
		hashes.forEach((hash) -> this.requestDeadlines.put(hash, deadline));
		return hashes;
	}

	long earliestTimeout() {
		return this.requestDeadlines.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
	}

}
