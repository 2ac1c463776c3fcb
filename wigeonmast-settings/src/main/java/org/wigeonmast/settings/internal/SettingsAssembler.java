package org.wigeonmast.settings.internal;

import java.net.InetAddress;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.LimitSettings;
import org.wigeonmast.settings.PeerSettings;
import org.wigeonmast.settings.SettingsError;
import org.wigeonmast.settings.StoreSettings;

/**
 * Checks that the values of a settings file are consistent and builds the settings.
 * <p>
 * Thread safety: stateless.
 */
public final class SettingsAssembler {

	private SettingsAssembler() {
	}

	/**
	 * Builds the settings.
	 * @param document the parsed file
	 * @return the settings, or every error found
	 */
	public static Either<List<SettingsError>, DaemonSettings> assemble(SettingsDocument document) {
		SettingsValues values = new SettingsValues(document);
		checkPortConflict(values, SettingsKeys.CALLER_ADDRESS, SettingsKeys.CALLER_PORT, SettingsKeys.PEER_ADDRESS,
				SettingsKeys.PEER_PORT);
		checkPortConflict(values, SettingsKeys.CALLER_ADDRESS, SettingsKeys.CALLER_PORT, SettingsKeys.ADMIN_ADDRESS,
				SettingsKeys.ADMIN_PORT);
		checkPortConflict(values, SettingsKeys.PEER_ADDRESS, SettingsKeys.PEER_PORT, SettingsKeys.ADMIN_ADDRESS,
				SettingsKeys.ADMIN_PORT);
		checkPeerAddress(values);
		List<SettingsError> errors = values.errors();
		return errors.isEmpty() ? Either.right(build(values)) : Either.left(errors);
	}

	private static void checkPortConflict(SettingsValues values, SettingsKey<String> firstAddress,
			SettingsKey<Long> firstPort, SettingsKey<String> secondAddress, SettingsKey<Long> secondPort) {
		Optional<Long> port = values.find(firstPort);
		if (port.isEmpty() || !port.equals(values.find(secondPort))) {
			return;
		}
		Optional<String> first = values.find(firstAddress);
		Optional<String> second = values.find(secondAddress);
		if (first.isPresent() && second.isPresent()
				&& (first.equals(second) || isAnyLocal(first.get()) || isAnyLocal(second.get()))) {
			values.addError(SettingsErrorMessages.portConflict(values.file(), secondPort, firstPort));
		}
	}

	private static void checkPeerAddress(SettingsValues values) {
		String address = values.find(SettingsKeys.PEER_ADDRESS).orElse("");
		List<HostAddress> seeds = values.find(SettingsKeys.SEEDS).orElse(List.of());
		if (isLoopback(address) && seeds.stream().anyMatch((seed) -> !isLoopback(seed.address()))) {
			values.addError(SettingsErrorMessages.loopbackPeer(values.file(), SettingsKeys.PEER_ADDRESS, address));
		}
	}

	private static boolean isAnyLocal(String text) {
		InetAddress address = AddressType.parseLiteral(text);
		return address != null && address.isAnyLocalAddress();
	}

	private static boolean isLoopback(String text) {
		InetAddress address = AddressType.parseLiteral(text);
		return address != null && address.isLoopbackAddress();
	}

	private static DaemonSettings build(SettingsValues values) {
		Region region = new Region(values.get(SettingsKeys.REGION));
		FailureDomain domain = new FailureDomain(region, values.get(SettingsKeys.FAILURE_DOMAIN));
		PeerSettings peers = new PeerSettings(hostAddress(values, SettingsKeys.PEER_ADDRESS, SettingsKeys.PEER_PORT),
				values.get(SettingsKeys.SEEDS), values.get(SettingsKeys.SHARED_KEY));
		StoreSettings store = new StoreSettings(values.get(SettingsKeys.STORE_URL),
				values.get(SettingsKeys.STORE_CALL_TIMEOUT), values.get(SettingsKeys.STORE_WATCH_WAIT));
		return new DaemonSettings(values.get(SettingsKeys.NAME), domain, values.get(SettingsKeys.LOG_LEVEL),
				hostAddress(values, SettingsKeys.CALLER_ADDRESS, SettingsKeys.CALLER_PORT), peers,
				hostAddress(values, SettingsKeys.ADMIN_ADDRESS, SettingsKeys.ADMIN_PORT), store, buildLimits(values));
	}

	private static LimitSettings buildLimits(SettingsValues values) {
		return new LimitSettings(values.get(SettingsKeys.HEAD_SIZE).intValue(),
				values.get(SettingsKeys.REPLAY_BODY_SIZE).intValue(),
				values.get(SettingsKeys.CALLER_CONNECTIONS).intValue(), values.get(SettingsKeys.HEAD_TIMEOUT),
				values.get(SettingsKeys.BODY_TIMEOUT), values.get(SettingsKeys.IDLE_TIMEOUT),
				values.get(SettingsKeys.AUDIT_ENTRIES).intValue(), values.get(SettingsKeys.REGION_LINK_RATE),
				values.get(SettingsKeys.REGION_LINK_SHARE));
	}

	private static HostAddress hostAddress(SettingsValues values, SettingsKey<String> address, SettingsKey<Long> port) {
		return new HostAddress(values.get(address), values.get(port).intValue());
	}

}
