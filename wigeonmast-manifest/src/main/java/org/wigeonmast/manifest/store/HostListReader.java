package org.wigeonmast.manifest.store;

import java.util.List;

import io.vavr.control.Either;
import org.wigeonmast.manifest.internal.HostListParser;

/**
 * A reader for the platform's host list.
 * <p>
 * Thread safety: stateless.
 */
public final class HostListReader {

	/**
	 * Parses a host list.
	 * @param bytes the JSON document
	 * @return the hosts, or every error found
	 */
	public Either<List<String>, List<PlatformHost>> read(byte[] bytes) {
		return new HostListParser().parse(bytes);
	}

}
