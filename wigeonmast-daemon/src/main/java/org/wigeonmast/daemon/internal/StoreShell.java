package org.wigeonmast.daemon.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.apache.commons.codec.digest.DigestUtils;
import org.wigeonmast.manifest.follow.ManifestFollowerInput;
import org.wigeonmast.manifest.store.HostListReader;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.manifest.store.StoreReply;

/**
 * Shell of the configuration store: executes the calls that the manifest follower
 * requests, and watches the host list.
 * <p>
 * Thread safety: confined to the control thread; replies are passed to it.
 */
final class StoreShell implements AutoCloseable {

	/** Delay before the host list is read again after a failure. */
	private static final long HOSTS_RETRY_MS = 5000;

	private final ControlLoop control;

	private final StoreCalls client;

	private final HostListReader hostListReader = new HostListReader();

	private final Consumer<ManifestFollowerInput> follower;

	private String indexHash = "";

	private String indexTag = "";

	private String hostsTag = "";

	private boolean closed;

	StoreShell(ControlLoop control, StoreCalls client, Consumer<ManifestFollowerInput> follower) {
		this.control = control;
		this.client = client;
		this.follower = follower;
	}

	void readIndex() {
		handleReply(this.client.readIndex(), this::onIndexReply);
	}

	void watchIndex(String knownHash) {
		// Without the entity tag of the known index a watch would return at once, as a
		// read does.
		boolean canWatch = knownHash.equals(this.indexHash) && !this.indexTag.isEmpty();
		handleReply(canWatch ? this.client.watchIndex(this.indexTag) : this.client.readIndex(), this::onIndexReply);
	}

	void readPart(String hash) {
		handleReply(this.client.readPart(hash), (reply) -> this.follower.accept(switch (reply) {
			case StoreReply.Document document -> new ManifestFollowerInput.StorePartReceived(hash, document.bytes());
			case StoreReply.Unchanged unchanged ->
				new ManifestFollowerInput.StorePartFailed(hash, "the store sent no content");
			case StoreReply.Failed failed ->
				new ManifestFollowerInput.StorePartFailed(hash, String.valueOf(failed.cause().getMessage()));
		}));
	}

	/**
	 * Reads the host list and then watches it while the condition holds.
	 * @param keepWatching whether to continue watching
	 * @param hosts receives the hosts of each list
	 */
	void watchHosts(BooleanSupplier keepWatching, Consumer<List<PlatformHost>> hosts) {
		handleReply(this.client.watchHosts(this.hostsTag), (reply) -> {
			long delayMs = 0;
			switch (reply) {
				case StoreReply.Document document -> {
					this.hostsTag = document.entityTag();
					this.hostListReader.read(document.bytes()).forEach(hosts);
					delayMs = this.hostsTag.isEmpty() ? HOSTS_RETRY_MS : 0;
				}
				case StoreReply.Unchanged unchanged -> {
				}
				case StoreReply.Failed failed -> delayMs = HOSTS_RETRY_MS;
			}
			boolean failed = reply instanceof StoreReply.Failed;
			this.control.schedule(delayMs, () -> watchHostsAgain(failed, keepWatching, hosts));
		});
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void watchHostsAgain(boolean failed, BooleanSupplier keepWatching, Consumer<List<PlatformHost>> hosts) {
		if (failed || keepWatching.getAsBoolean()) {
			watchHosts(keepWatching, hosts);
		}
		else {
			this.control.schedule(HOSTS_RETRY_MS, () -> watchHostsAgain(false, keepWatching, hosts));
		}
	}

	private void onIndexReply(StoreReply reply) {
		switch (reply) {
			case StoreReply.Document document -> {
				this.indexHash = DigestUtils.sha256Hex(document.bytes());
				this.indexTag = document.entityTag();
				this.follower.accept(new ManifestFollowerInput.StoreIndexReceived(document.bytes()));
			}
			case StoreReply.Unchanged unchanged ->
				this.follower.accept(new ManifestFollowerInput.StoreIndexUnchanged());
			case StoreReply.Failed failed -> this.follower
				.accept(new ManifestFollowerInput.StoreIndexFailed(String.valueOf(failed.cause().getMessage())));
		}
	}

	private void handleReply(CompletableFuture<StoreReply> call, Consumer<StoreReply> handler) {
		BiConsumer<StoreReply, Throwable> onComplete = (reply, failure) -> this.control.execute(() -> {
			if (!this.closed && reply != null) {
				handler.accept(reply);
			}
		});
		call.whenComplete(onComplete);
	}

}
