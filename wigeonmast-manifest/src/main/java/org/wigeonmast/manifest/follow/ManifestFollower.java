package org.wigeonmast.manifest.follow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.Step;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestChecker;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;
import org.wigeonmast.manifest.internal.Hashes;

/**
 * The component that keeps the manifest up to date: it fetches versions from the store or
 * from peers, validates and accepts them and announces them to peers.
 * <p>
 * Thread safety: none; the control thread owns it.
 * <p>
 * A version is <em>accepted</em> by a daemon at the moment at which
 * {@link ManifestFollowerEffect.Apply} is returned. At that moment the daemon holds the
 * index and all parts, each verified against its hash; the {@link ManifestChecker} has
 * found no error in the manifest as a whole; and the version is higher than that of every
 * manifest that this process accepted before. Invariants:
 * <ul>
 * <li>The versions that one process accepts increase strictly, for any input. Of two
 * manifests with the same version but different hashes, the first accepted one stays in
 * force.</li>
 * <li>Let n be the number of daemons of the region that membership counts as live, this
 * one included. A process that is not ready becomes ready only after {@code n / 2 + 1}
 * other ready members, or all other members, have replied to a query that it sent after
 * it started (or resumed), and only with a version at least as high as that in every
 * reply of a live member. So if more than half of the n daemons accepted version v before
 * the process started and are still running when it becomes ready, it is ready with v or
 * higher.</li>
 * <li>If no other member of the region is live, the store readers of other regions are
 * queried instead; if there are none either, the version from the store is sufficient. A
 * process without any version is never ready.</li>
 * </ul>
 * Members that membership has declared dead do not count. A daemon that starts on the
 * smaller side of a partition therefore becomes ready, with the highest version of its
 * side, once the other side is declared dead.
 * <p>
 * Integration: pass messages as {@link ManifestFollowerInput.MessageReceived}, and each
 * {@code MembershipEffect.ManifestReported} as a received
 * {@link ManifestMessage.Announcement}. On each change of members pass
 * {@link ManifestFollowerInput.PeersChanged}, with the rank derived from
 * {@code Ownership.readers}. Execute the store effects on another thread and pass the
 * results back. Notify membership of {@link ManifestFollowerEffect.Apply} with
 * {@code ManifestApplied} and of {@link ManifestFollowerEffect.ReadinessChanged} with
 * {@code PhaseChanged}. Pass {@code MembershipEffect.Resumed} on before any message that
 * was queued during the pause.
 */
public final class ManifestFollower implements Component<ManifestFollowerInput, ManifestFollowerEffect> {

	private static final String STORE_SOURCE = "store";

	private static final int MAX_FETCHES = 16;

	private static final int MAX_REMEMBERED_VERSIONS = 64;

	/**
	 * Time without any message or store reply after which a daemon that is not a store
	 * reader reads the store too.
	 */
	private static final long STORE_FALLBACK_DELAY_MS = 3000;

	/**
	 * Time without any message or store reply after which the daemon counts as cut off.
	 */
	private static final long CUT_OFF_TIMEOUT_MS = 10_000;

	private final String daemonName;

	private final Region region;

	private final ManifestChecker checker;

	private final ManifestFollowerSettings settings;

	private final RandomGenerator random;

	private final StoreReader storeReader;

	private final ReadinessPoll readinessPoll;

	private final Map<VersionStamp, VersionFetch> fetches = new HashMap<>();

	private final Set<VersionStamp> rejectedVersions = new LinkedHashSet<>();

	private final Set<VersionStamp> reportedConflicts = new LinkedHashSet<>();

	private final Set<String> reportedStaleHashes = new LinkedHashSet<>();

	private Map<HostAddress, Peer> peers = Map.of();

	private List<Peer> localPeers = List.of();

	private int readerRank = ManifestFollowerInput.PeersChanged.NOT_A_READER;

	private boolean joined;

	private boolean ready;

	private boolean cutOff;

	private boolean storeFailing;

	private long lastContactAt;

	private @Nullable AcceptedVersion accepted;

	/**
	 * The version accepted before, which is the base for compressing content for peers.
	 */
	private @Nullable AcceptedVersion previous;

	private List<ManifestFollowerEffect> effects = new ArrayList<>();

	/**
	 * Creates a follower that has not accepted any version.
	 * @param daemonName the daemon's name, for audit entries
	 * @param region the daemon's region
	 * @param checker the parser and validator of manifests
	 * @param settings the timeouts, delays and limits
	 * @param random the source of random numbers, seeded in tests
	 */
	public ManifestFollower(String daemonName, Region region, ManifestChecker checker,
			ManifestFollowerSettings settings, RandomGenerator random) {
		this.daemonName = daemonName;
		this.region = region;
		this.checker = checker;
		this.settings = settings;
		this.random = random;
		this.storeReader = new StoreReader(settings, random);
		this.readinessPoll = new ReadinessPoll(settings, random);
	}

	/**
	 * Returns the version in force.
	 * @return the version, or {@link VersionStamp#NONE} if none was accepted
	 */
	public VersionStamp versionInForce() {
		return (this.accepted != null) ? this.accepted.stamp() : VersionStamp.NONE;
	}

	/**
	 * Returns whether the daemon may serve with the version in force.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns whether neither a member nor the store has been in contact for some time.
	 * @return whether the daemon is cut off
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	@Override
	public List<ManifestFollowerEffect> handle(long now, ManifestFollowerInput input) {
		switch (input) {
			case ManifestFollowerInput.MessageReceived received -> {
				recordContact(now);
				handleMessage(now, received.from(), received.message());
			}
			case ManifestFollowerInput.PeersChanged change -> handlePeersChanged(now, change);
			case ManifestFollowerInput.StoreIndexReceived read -> handleStoreIndex(now, read.bytes());
			case ManifestFollowerInput.StoreIndexUnchanged unchanged -> {
				recordStoreReply(now);
				this.storeReader.onIndexUnchanged(now);
			}
			case ManifestFollowerInput.StorePartReceived part -> {
				recordStoreReply(now);
				handlePart(STORE_SOURCE, part.hash(), Content.plain(part.bytes()));
			}
			case ManifestFollowerInput.StoreIndexFailed failure -> {
				this.storeReader.onFailure(now);
				reportStoreFailure(failure.reason());
			}
			case ManifestFollowerInput.StorePartFailed failure -> reportStoreFailure(failure.reason());
			case ManifestFollowerInput.Resumed resumed -> handleResumed(now);
		}
		advance(now);
		return drainEffects();
	}

	@Override
	public List<ManifestFollowerEffect> tick(long now) {
		updateStoreReader(now);
		if (this.storeReader.tick(now, this.effects)) {
			reportStoreFailure("no reply within the timeout");
		}
		advance(now);
		checkCutOff(now);
		return drainEffects();
	}

	@Override
	public long nextTick() {
		long next = this.storeReader.nextTick();
		VersionFetch fetch = highestFetch();
		if (fetch != null) {
			next = Math.min(next, Math.max(fetch.earliestStart(fetchDelay()), fetch.earliestTimeout()));
		}
		if (this.joined && !this.ready) {
			next = Math.min(next, this.readinessPoll.nextTick());
		}
		if (!isReader() && !this.storeReader.isActive()) {
			next = Math.min(next, this.lastContactAt + STORE_FALLBACK_DELAY_MS);
		}
		return (this.cutOff || this.accepted == null) ? next : Math.min(next, this.lastContactAt + CUT_OFF_TIMEOUT_MS);
	}

	private void handleMessage(long now, HostAddress from, ManifestMessage message) {
		switch (message) {
			case ManifestMessage.Announcement announcement -> {
				handlePeerVersion(now, from, announcement.stamp());
				if (announcement.stamp().version() < versionInForce().version()) {
					send(from, new ManifestMessage.Announcement(versionInForce()));
				}
			}
			case ManifestMessage.Query query ->
				send(from, new ManifestMessage.QueryReply(query.number(), versionInForce(), this.ready));
			case ManifestMessage.QueryReply reply -> {
				this.readinessPoll.recordReply(from, reply);
				handlePeerVersion(now, from, reply.stamp());
			}
			case ManifestMessage.IndexRequest request -> serveIndex(from, request);
			case ManifestMessage.IndexReply reply -> handleIndexReply(now, from, reply);
			case ManifestMessage.PartRequest request -> serveParts(from, request);
			case ManifestMessage.PartReply reply -> handlePart(from, reply.hash(), reply.content());
		}
	}

	private void handlePeerVersion(long now, HostAddress from, VersionStamp stamp) {
		VersionStamp current = versionInForce();
		if (stamp.version() > current.version() && !this.rejectedVersions.contains(stamp)) {
			VersionFetch fetch = findOrStartFetch(now, stamp);
			if (fetch != null) {
				fetch.addSource(from, isLocal(from));
			}
		}
		else if (stamp.version() == current.version() && !stamp.equals(current)) {
			reportConflict(stamp);
		}
		for (VersionFetch fetch : this.fetches.values()) {
			if (!fetch.stamp().equals(stamp)) {
				fetch.removeSource(from);
			}
		}
	}

	private @Nullable VersionFetch findOrStartFetch(long now, VersionStamp stamp) {
		VersionFetch fetch = this.fetches.get(stamp);
		if (fetch == null) {
			this.fetches.values().removeIf((old) -> !old.hasSource());
			if (this.fetches.size() >= MAX_FETCHES) {
				return null;
			}
			fetch = new VersionFetch(stamp, now);
			this.fetches.put(stamp, fetch);
		}
		return fetch;
	}

	private void reportConflict(VersionStamp stamp) {
		if (this.reportedConflicts.size() < MAX_REMEMBERED_VERSIONS && this.reportedConflicts.add(stamp)) {
			report(ManifestFollowerEvent.CONFLICT, versionInForce(), stamp);
		}
	}

	private void handlePeersChanged(long now, ManifestFollowerInput.PeersChanged change) {
		Map<HostAddress, Peer> byAddress = HashMap.newHashMap(change.peers().size());
		List<Peer> local = new ArrayList<>();
		for (Peer peer : change.peers()) {
			byAddress.put(peer.address(), peer);
			if (peer.region().equals(this.region)) {
				local.add(peer);
			}
		}
		this.peers = byAddress;
		this.localPeers = local;
		this.readerRank = change.readerRank();
		updateStoreReader(now);
		this.readinessPoll.setMembers((local.isEmpty()) ? remoteReaders() : local);
		if (change.joined() && !this.joined) {
			this.joined = true;
			this.lastContactAt = now;
			this.readinessPoll.startRound(now);
		}
	}

	private boolean isReader() {
		return this.readerRank != ManifestFollowerInput.PeersChanged.NOT_A_READER;
	}

	// All store readers of the region may have crashed, so a daemon without any contact
	// reads the store itself.
	private void updateStoreReader(long now) {
		this.storeReader.setActive(now, isReader() || now - this.lastContactAt >= STORE_FALLBACK_DELAY_MS);
	}

	private void handleStoreIndex(long now, byte[] bytes) {
		recordStoreReply(now);
		String hash = Hashes.sha256(bytes);
		this.storeReader.onIndexRead(now, hash);
		Either<List<String>, ManifestIndex> read = parseIndex(bytes);
		if (read.isLeft()) {
			reject(now, new VersionStamp(0, hash), read.getLeft());
			return;
		}
		ManifestIndex index = read.get();
		VersionStamp stamp = new VersionStamp(index.version(), hash);
		VersionStamp current = versionInForce();
		if (stamp.version() < current.version()) {
			if (this.reportedStaleHashes.size() < MAX_REMEMBERED_VERSIONS && this.reportedStaleHashes.add(hash)) {
				report(ManifestFollowerEvent.STORE_BEHIND, stamp, current);
			}
		}
		else if (stamp.version() == current.version()) {
			if (!stamp.equals(current)) {
				reportConflict(stamp);
			}
		}
		else if (!this.rejectedVersions.contains(stamp)) {
			VersionFetch fetch = findOrStartFetch(now, stamp);
			if (fetch != null) {
				fetch.setInStore(true);
				fetch.putIndex(bytes, index);
			}
		}
	}

	private Either<List<String>, ManifestIndex> parseIndex(byte[] bytes) {
		if (bytes.length > this.settings.maxContentBytes()) {
			return Either.left(List.of("the index has " + bytes.length + " bytes"));
		}
		return this.checker.readIndex(bytes).flatMap((index) -> {
			if (index.parts().size() > this.settings.maxParts()) {
				return Either.left(List.of("the index has " + index.parts().size() + " parts"));
			}
			for (ManifestPart part : index.parts()) {
				if (part.size() > this.settings.maxContentBytes()) {
					return Either.left(List.of("part " + part.name() + " has " + part.size() + " bytes"));
				}
			}
			return Either.right(index);
		});
	}

	private void handleIndexReply(long now, HostAddress from, ManifestMessage.IndexReply reply) {
		VersionFetch fetch = highestFetch();
		if (fetch == null || fetch.index() != null || !fetch.stamp().hash().equals(reply.hash())) {
			return;
		}
		byte[] bytes = decode(reply.content(), this.settings.maxContentBytes());
		if (bytes == null || !Hashes.sha256(bytes).equals(reply.hash())) {
			report(ManifestFollowerEvent.CONTENT_INVALID, reply.hash(), from, "wrong hash");
			return;
		}
		Either<List<String>, ManifestIndex> read = parseIndex(bytes);
		if (read.isLeft() || read.get().version() != fetch.stamp().version()) {
			reject(now, fetch.stamp(), (read.isLeft()) ? read.getLeft() : List.of("announced with another version"));
			return;
		}
		fetch.putIndex(bytes, read.get());
	}

	private void handlePart(Object from, String hash, Content content) {
		VersionFetch fetch = highestFetch();
		ManifestPart part = (fetch != null) ? fetch.missingPart(hash) : null;
		if (fetch == null || part == null) {
			return;
		}
		byte[] bytes = decode(content, part.size());
		if (bytes == null || bytes.length != part.size() || !Hashes.sha256(bytes).equals(hash)) {
			report(ManifestFollowerEvent.CONTENT_INVALID, hash, from, "wrong size or hash");
			return;
		}
		fetch.putPart(hash, bytes);
	}

	private byte @Nullable [] decode(Content content, long limit) {
		AcceptedVersion current = this.accepted;
		byte[] base = null;
		if (current != null && !content.base().isEmpty()) {
			base = (content.base().equals(current.index().hash())) ? current.indexBytes()
					: current.parts().get(content.base());
		}
		return ContentCoder.decode(content, base, limit);
	}

	private void serveIndex(HostAddress from, ManifestMessage.IndexRequest request) {
		AcceptedVersion current = this.accepted;
		if (current != null && current.index().hash().equals(request.hash())) {
			AcceptedVersion base = findBase(request.base());
			send(from, new ManifestMessage.IndexReply(request.hash(), ContentCoder.encode(current.indexBytes(),
					request.base(), (base != null) ? base.indexBytes() : null)));
		}
		else {
			send(from, new ManifestMessage.Announcement(versionInForce()));
		}
	}

	private void serveParts(HostAddress from, ManifestMessage.PartRequest request) {
		AcceptedVersion current = this.accepted;
		if (current == null || !current.index().hash().equals(request.index())) {
			send(from, new ManifestMessage.Announcement(versionInForce()));
			return;
		}
		AcceptedVersion base = findBase(request.base());
		for (String hash : request.hashes().stream().limit(this.settings.requestWindow()).toList()) {
			byte[] bytes = current.parts().get(hash);
			if (bytes != null) {
				String baseHash = (base != null) ? base.partHash(current.partName(hash)) : "";
				send(from, new ManifestMessage.PartReply(hash,
						ContentCoder.encode(bytes, baseHash, (base != null) ? base.parts().get(baseHash) : null)));
			}
		}
	}

	private @Nullable AcceptedVersion findBase(String hash) {
		AcceptedVersion before = this.previous;
		return (before != null && before.index().hash().equals(hash)) ? before : null;
	}

	private void advance(long now) {
		VersionFetch fetch = highestFetch();
		while (fetch != null && tryComplete(now, fetch)) {
			fetch = highestFetch();
		}
		if (fetch != null && now >= fetch.earliestStart(fetchDelay())) {
			requestContent(now, fetch);
		}
		if (this.joined && !this.ready) {
			this.readinessPoll.tick(now, this.effects);
			checkReadiness();
		}
	}

	private @Nullable VersionFetch highestFetch() {
		return this.fetches.values()
			.stream()
			.filter(VersionFetch::hasSource)
			.max(Comparator.<VersionFetch>comparingLong((fetch) -> fetch.stamp().version())
				.thenComparing((fetch) -> fetch.stamp().hash()))
			.orElse(null);
	}

	private long fetchDelay() {
		return switch (this.readerRank) {
			case 0 -> 0;
			case ManifestFollowerInput.PeersChanged.NOT_A_READER -> this.settings.nonReaderDelay();
			default -> this.settings.secondReaderDelay();
		};
	}

	private void requestContent(long now, VersionFetch fetch) {
		if (fetch.earliestTimeout() <= now) {
			fetch.tryNextSource();
			if (fetch.isExhausted()) {
				abandonFetch(now, fetch);
				return;
			}
		}
		HostAddress source = fetch.source();
		List<String> hashes = fetch.startRequests(this.settings.requestWindow(), now + this.settings.requestTimeout());
		if (hashes.isEmpty()) {
			return;
		}
		if (source == null) {
			hashes.forEach((hash) -> this.effects.add(new ManifestFollowerEffect.ReadPart(hash)));
		}
		else if (fetch.index() == null) {
			send(source, new ManifestMessage.IndexRequest(fetch.stamp().hash(), versionInForce().hash()));
		}
		else {
			send(source, new ManifestMessage.PartRequest(fetch.stamp().hash(), versionInForce().hash(), hashes));
		}
	}

	/**
	 * Abandons a version that no source delivers, so that it does not prevent a lower one
	 * from being accepted. Fetching starts again when the version is next announced.
	 * @param now the current monotonic time in milliseconds
	 * @param fetch the fetch of the version
	 */
	private void abandonFetch(long now, VersionFetch fetch) {
		this.fetches.remove(fetch.stamp());
		if (fetch.isInStore()) {
			this.storeReader.onFailure(now);
		}
	}

	private boolean tryComplete(long now, VersionFetch fetch) {
		AcceptedVersion current = this.accepted;
		ManifestIndex index = fetch.index();
		byte[] indexBytes = fetch.indexBytes();
		if (index == null || indexBytes == null) {
			return false;
		}
		if (current != null) {
			fetch.reuseParts(current.parts());
		}
		if (!fetch.isComplete()) {
			return false;
		}
		Either<List<String>, Manifest> checked = this.checker.check(index, fetch.parts());
		if (checked.isLeft()) {
			reject(now, fetch.stamp(), checked.getLeft());
		}
		else {
			accept(now, fetch, new AcceptedVersion(checked.get(), index, indexBytes, Map.copyOf(fetch.parts())));
		}
		return true;
	}

	private void accept(long now, VersionFetch fetch, AcceptedVersion version) {
		VersionStamp before = versionInForce();
		if (version.index().version() <= before.version()) {
			throw new IllegalStateException("Version " + version.stamp() + " does not follow " + before);
		}
		this.previous = this.accepted;
		this.accepted = version;
		this.fetches.keySet().removeIf((stamp) -> stamp.version() <= version.index().version());
		HostAddress source = fetch.source();
		String from = (source != null) ? source.toString() : STORE_SOURCE;
		this.effects.add(new ManifestFollowerEffect.Apply(version.manifest()));
		report(ManifestFollowerEvent.ACCEPTED, version.stamp(), from);
		this.effects.add(new ManifestFollowerEffect.Audit(new AuditEntry(now, AuditKind.MANIFEST_ACCEPTED,
				version.stamp().toString(), Step.APPLY, from, Map.of("previous", before.toString()))));
		announceVersion();
	}

	private void announceVersion() {
		ManifestMessage message = new ManifestMessage.Announcement(versionInForce());
		List<Peer> chosen = new ArrayList<>();
		for (int i = 0; i < this.settings.fanOut() && !this.localPeers.isEmpty(); i++) {
			chosen.add(this.localPeers.get(this.random.nextInt(this.localPeers.size())));
		}
		if (isReader()) {
			chosen.addAll(remoteReaders());
		}
		for (Peer peer : new LinkedHashSet<>(chosen)) {
			send(peer.address(), message);
		}
	}

	private List<Peer> remoteReaders() {
		List<Peer> readers = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			if (peer.reader() && !peer.region().equals(this.region)) {
				readers.add(peer);
			}
		}
		readers.sort(Comparator.comparing((peer) -> peer.address().toString()));
		return Collections.unmodifiableList(readers);
	}

	private void reject(long now, VersionStamp stamp, List<String> errors) {
		this.fetches.remove(stamp);
		if (this.rejectedVersions.size() >= MAX_REMEMBERED_VERSIONS) {
			this.rejectedVersions.remove(this.rejectedVersions.iterator().next());
		}
		if (this.rejectedVersions.add(stamp)) {
			report(ManifestFollowerEvent.REJECTED, stamp, String.join("; ", errors));
			this.effects.add(new ManifestFollowerEffect.Audit(new AuditEntry(now, AuditKind.MANIFEST_REJECTED,
					stamp.toString(), Step.CHECK, this.daemonName, Map.of("errors", String.join("; ", errors)))));
		}
	}

	private void checkReadiness() {
		AcceptedVersion current = this.accepted;
		if (current != null && this.readinessPoll.isComplete()
				&& current.index().version() >= this.readinessPoll.highestVersion()) {
			this.ready = true;
			this.effects.add(new ManifestFollowerEffect.ReadinessChanged(true));
			report(ManifestFollowerEvent.READY, current.stamp(), this.readinessPoll.replyCount(),
					this.readinessPoll.memberCount());
		}
	}

	private void handleResumed(long now) {
		if (this.ready) {
			this.ready = false;
			this.effects.add(new ManifestFollowerEffect.ReadinessChanged(false));
			report(ManifestFollowerEvent.NOT_READY, "the daemon was paused");
		}
		this.readinessPoll.startRound(now);
		this.storeReader.restart(now);
		this.lastContactAt = now;
	}

	private void checkCutOff(long now) {
		if (!this.cutOff && this.accepted != null && now - this.lastContactAt >= CUT_OFF_TIMEOUT_MS) {
			this.cutOff = true;
			report(ManifestFollowerEvent.CUT_OFF, versionInForce());
		}
	}

	private void recordContact(long now) {
		this.lastContactAt = now;
		if (this.cutOff) {
			this.cutOff = false;
			report(ManifestFollowerEvent.CONNECTED);
		}
	}

	private void recordStoreReply(long now) {
		recordContact(now);
		if (this.storeFailing) {
			this.storeFailing = false;
			report(ManifestFollowerEvent.STORE_RETURNED);
		}
	}

	private void reportStoreFailure(String reason) {
		if (!this.storeFailing) {
			this.storeFailing = true;
			report(ManifestFollowerEvent.STORE_FAILED, reason);
		}
	}

	private boolean isLocal(HostAddress address) {
		Peer peer = this.peers.get(address);
		return peer != null && peer.region().equals(this.region);
	}

	private void send(HostAddress to, ManifestMessage message) {
		this.effects.add(new ManifestFollowerEffect.Send(to, message));
	}

	private void report(ManifestFollowerEvent event, Object... parameters) {
		this.effects.add(new ManifestFollowerEffect.Report(event, List.of(parameters)));
	}

	private List<ManifestFollowerEffect> drainEffects() {
		List<ManifestFollowerEffect> result = this.effects;
		this.effects = new ArrayList<>();
		return result;
	}

}
