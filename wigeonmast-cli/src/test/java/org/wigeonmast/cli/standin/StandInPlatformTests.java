package org.wigeonmast.cli.standin;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.store.ConfigurationStoreClient;
import org.wigeonmast.manifest.store.HostListReader;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.manifest.store.StoreReply;

class StandInPlatformTests {

	private static final PublishedManifest FIRST = PublishedManifest.of(1, Map.of("all", "{}"));

	private static final PublishedManifest SECOND = PublishedManifest.of(2, Map.of("all", "{ }"));

	private StandInPlatform platform;

	private ConfigurationStoreClient client;

	@BeforeEach
	void start() throws Exception {
		this.platform = new StandInPlatform();
		this.client = new ConfigurationStoreClient(this.platform.baseUrl(), 500, 1_000);
		this.platform.publish(FIRST);
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.platform.close();
	}

	private static StoreReply await(CompletableFuture<StoreReply> reply) throws Exception {
		return reply.get(10, TimeUnit.SECONDS);
	}

	@Test
	void watchEndsWhenTheIndexChanges() throws Exception {
		StoreReply.Document first = (StoreReply.Document) await(this.client.readIndex());
		Truth.assertThat(first.bytes()).isEqualTo(FIRST.index());
		Truth.assertThat(await(this.client.watchIndex(first.entityTag()))).isInstanceOf(StoreReply.Unchanged.class);
		CompletableFuture<StoreReply> watch = this.client.watchIndex(first.entityTag());
		this.platform.publish(SECOND);
		Truth.assertThat(((StoreReply.Document) await(watch)).bytes()).isEqualTo(SECOND.index());
	}

	@Test
	void partsAndHostsAreRead() throws Exception {
		String hash = FIRST.parts().keySet().iterator().next();
		Truth.assertThat(((StoreReply.Document) await(this.client.readPart(hash))).bytes())
			.isEqualTo(FIRST.parts().get(hash));
		PlatformHost host = new PlatformHost(PlatformHost.Role.BACKEND, new HostAddress("127.0.0.1", 9), true);
		String entityTag = ((StoreReply.Document) await(this.client.readHosts())).entityTag();
		CompletableFuture<StoreReply> watch = this.client.watchHosts(entityTag);
		this.platform.publishHosts(List.of(host));
		byte[] hosts = ((StoreReply.Document) await(watch)).bytes();
		Truth.assertThat(new HostListReader().read(hosts).get()).containsExactly(host);
	}

	/** Guards against futures that never complete while the store is down. */
	@Test
	void platformThatIsDownFailsCallsAndWatches() throws Exception {
		String entityTag = ((StoreReply.Document) await(this.client.readIndex())).entityTag();
		CompletableFuture<StoreReply> watch = this.client.watchIndex(entityTag);
		this.platform.setDown(true);
		Truth.assertThat(await(watch)).isInstanceOf(StoreReply.Failed.class);
		Truth.assertThat(await(this.client.readIndex())).isInstanceOf(StoreReply.Failed.class);
		this.platform.setDown(false);
		Truth.assertThat(await(this.client.readIndex())).isInstanceOf(StoreReply.Document.class);
	}

	@Test
	void stalePlatformDefersChanges() throws Exception {
		this.platform.setStale(true);
		this.platform.publish(SECOND);
		Truth.assertThat(((StoreReply.Document) await(this.client.readIndex())).bytes()).isEqualTo(FIRST.index());
		this.platform.setStale(false);
		Truth.assertThat(((StoreReply.Document) await(this.client.readIndex())).bytes()).isEqualTo(SECOND.index());
	}

	/** Guards against a document that exhausts the memory of a daemon. */
	@Test
	void documentThatIsTooLargeFails() throws Exception {
		this.platform.publish(new PublishedManifest(new byte[1_000_001], Map.of()));
		Truth.assertThat(await(this.client.readIndex())).isInstanceOf(StoreReply.Failed.class);
	}

	/** Guards against calls that never end when the store accepts but never responds. */
	@Test
	void silentStoreFailsCallsAndWatches() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.ofLiteral("127.0.0.1"));
				ConfigurationStoreClient shortTimeoutClient = new ConfigurationStoreClient(
						URI.create("http://127.0.0.1:" + silent.getLocalPort()), 200, 200)) {
			CompletableFuture<StoreReply> watch = shortTimeoutClient.watchIndex("\"tag\"");
			Truth.assertThat(await(shortTimeoutClient.readHosts())).isInstanceOf(StoreReply.Failed.class);
			Truth.assertThat(await(watch)).isInstanceOf(StoreReply.Failed.class);
		}
	}

}
