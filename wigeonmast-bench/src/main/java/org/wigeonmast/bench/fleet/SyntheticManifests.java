package org.wigeonmast.bench.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.zip.Deflater;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestChecker;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;

/**
 * Versions of a manifest that have the size and the look of real ones and cost nothing to
 * check, so that the bench measures the distribution only.
 * <p>
 * Thread safety: none.
 */
final class SyntheticManifests implements ManifestChecker {

	private static final String[] WORDS = { "catalogue", "reservations", "rota-board", "claim-desk", "swap-print" };

	private final RandomGenerator random;

	private final int partSize;

	private final Map<String, byte[]> bytesByHash = new HashMap<>();

	private final Map<String, ManifestIndex> indexByHash = new HashMap<>();

	private List<ManifestPart> parts = new ArrayList<>();

	private String indexHash = "";

	private long version;

	SyntheticManifests(RandomGenerator random, int partCount, int partSize) {
		this.random = random;
		this.partSize = partSize;
		for (int i = 0; i < partCount; i++) {
			this.parts.add(newPart(i));
		}
		publish();
	}

	/**
	 * Makes the next version, in which a line of one part has changed.
	 * @return the hash of its index
	 */
	String change() {
		int changed = this.random.nextInt(this.parts.size());
		this.parts = new ArrayList<>(this.parts);
		byte[] bytes = this.bytesByHash.get(this.parts.get(changed).hash()).clone();
		byte[] line = line().getBytes(StandardCharsets.UTF_8);
		int at = this.random.nextInt(bytes.length - line.length);
		System.arraycopy(line, 0, bytes, at, line.length);
		this.parts.set(changed, part(changed, bytes));
		return publish();
	}

	long version() {
		return this.version;
	}

	String indexHash() {
		return this.indexHash;
	}

	byte[] bytes(String hash) {
		return this.bytesByHash.get(hash);
	}

	/**
	 * Returns the mean size of a part that is compressed as followers do it.
	 * @return the size in bytes
	 */
	double compressedPartSize() {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		long compressed = 0;
		for (ManifestPart part : this.parts) {
			deflater.reset();
			deflater.setInput(this.bytesByHash.get(part.hash()));
			deflater.finish();
			while (!deflater.finished()) {
				compressed += deflater.deflate(new byte[this.partSize]);
			}
		}
		deflater.end();
		return (double) compressed / this.parts.size();
	}

	@Override
	public Either<List<String>, ManifestIndex> readIndex(byte[] bytes) {
		ManifestIndex index = this.indexByHash.get(hash(bytes));
		return (index != null) ? Either.right(index) : Either.left(List.of("unknown index"));
	}

	@Override
	public Either<List<String>, Manifest> check(ManifestIndex index, Map<String, byte[]> content) {
		return Either.right(new EmptyManifest(index.version(), index.hash()));
	}

	private String publish() {
		this.version++;
		StringBuilder text = new StringBuilder("{\"version\":" + this.version + ",\"parts\":[");
		for (ManifestPart part : this.parts) {
			text.append("{\"name\":\"" + part.name() + "\",\"sha256\":\"" + part.hash() + "\",\"size\":" + part.size()
					+ "},");
		}
		byte[] bytes = text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
		this.indexHash = hash(bytes);
		this.bytesByHash.put(this.indexHash, bytes);
		this.indexByHash.put(this.indexHash, new ManifestIndex(this.version, this.indexHash, this.parts));
		return this.indexHash;
	}

	private ManifestPart newPart(int number) {
		StringBuilder text = new StringBuilder();
		while (text.length() < this.partSize) {
			text.append(line());
		}
		return part(number, text.toString().getBytes(StandardCharsets.UTF_8));
	}

	private String line() {
		String word = WORDS[this.random.nextInt(WORDS.length)];
		return "{\"id\":\"" + word + "-" + this.random.nextInt(10_000) + "\",\"address\":\"10."
				+ this.random.nextInt(256) + "." + this.random.nextInt(256) + "." + this.random.nextInt(256)
				+ ":8080\",\"region\":\"region-" + this.random.nextInt(6) + "\",\"domain\":\"domain-"
				+ this.random.nextInt(3) + "\",\"slots\":2,\"connections\":330},\n";
	}

	private ManifestPart part(int number, byte[] bytes) {
		String hash = hash(bytes);
		this.bytesByHash.put(hash, bytes);
		return new ManifestPart("services-" + number, hash, bytes.length);
	}

	private static String hash(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException exception) {
			throw new IllegalStateException("Every Java platform has SHA-256", exception);
		}
	}

	/**
	 * A manifest without services.
	 *
	 * @param version the version
	 * @param hash the hash of the index
	 */
	private record EmptyManifest(long version, String hash) implements Manifest {

		@Override
		public Collection<Service> services() {
			return List.of();
		}

		@Override
		public @Nullable Service service(ServiceName name) {
			return null;
		}

		@Override
		public @Nullable Route route(String method, String path) {
			return null;
		}

		@Override
		public long callerLimit(CallerId caller) {
			return 0;
		}

		@Override
		public Map<FailureDomain, Integer> daemons() {
			return Map.of();
		}
	}

}
