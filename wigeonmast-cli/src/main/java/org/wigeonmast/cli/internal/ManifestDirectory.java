package org.wigeonmast.cli.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.manifest.JsonManifestChecker;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;

/**
 * Reader of manifests from a directory. The directory contains either {@code index.json}
 * and {@code parts/HASH}, as the store does, or only parts, each in a file whose name
 * ends with {@code .json}.
 * <p>
 * Thread safety: stateless.
 */
public final class ManifestDirectory {

	private static final String INDEX_FILE = "index.json";

	private static final String PARTS_DIRECTORY = "parts";

	private static final String JSON_SUFFIX = ".json";

	/**
	 * One more than the size limit of the store, so that a larger file is reported as too
	 * large.
	 */
	private static final int MAX_READ_BYTES = 1_000_001;

	private ManifestDirectory() {
	}

	/**
	 * Reads and validates the manifest in a directory.
	 * @param directory the directory
	 * @return the manifest, or all errors found
	 * @throws IOException if a file cannot be read
	 */
	public static Either<List<String>, Manifest> read(Path directory) throws IOException {
		if (!Files.exists(directory.resolve(INDEX_FILE))) {
			try (Stream<Path> files = Files.list(directory)) {
				return checkParts(files.filter((file) -> file.toString().endsWith(JSON_SUFFIX)).sorted().toList());
			}
		}
		JsonManifestChecker checker = new JsonManifestChecker();
		Either<List<String>, ManifestIndex> index = checker.readIndex(readFile(directory.resolve(INDEX_FILE)));
		if (index.isLeft()) {
			return Either.left(index.getLeft());
		}
		Map<String, byte[]> parts = new HashMap<>();
		for (ManifestPart part : index.get().parts()) {
			Path file = directory.resolve(PARTS_DIRECTORY).resolve(part.hash());
			if (Files.exists(file)) {
				parts.put(part.hash(), readFile(file));
			}
		}
		return checker.check(index.get(), parts);
	}

	/**
	 * Reads and validates a file as the only part of a manifest.
	 * @param file the file
	 * @return the manifest, or all errors found
	 * @throws IOException if the file cannot be read
	 */
	public static Either<List<String>, Manifest> readPart(Path file) throws IOException {
		return checkParts(List.of(file));
	}

	private static Either<List<String>, Manifest> checkParts(List<Path> files) throws IOException {
		Map<String, byte[]> parts = new TreeMap<>();
		for (Path file : files) {
			String name = file.getFileName().toString();
			parts.put(name.substring(0, name.length() - JSON_SUFFIX.length()), readFile(file));
		}
		PublishedManifest published = PublishedManifest.ofBytes(1, parts);
		JsonManifestChecker checker = new JsonManifestChecker();
		return checker.readIndex(published.index())
			.flatMap((index) -> checker.check(index, new HashMap<>(published.parts())));
	}

	private static byte[] readFile(Path file) throws IOException {
		try (InputStream stream = Files.newInputStream(file)) {
			return stream.readNBytes(MAX_READ_BYTES);
		}
	}

}
