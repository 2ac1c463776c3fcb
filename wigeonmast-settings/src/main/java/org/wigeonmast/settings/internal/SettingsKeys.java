package org.wigeonmast.settings.internal;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.Level;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

/**
 * The keys that a settings file may contain.
 * <p>
 * Thread safety: immutable.
 */
public final class SettingsKeys {

	private static final long SECOND_MS = 1_000;

	private static final long MINUTE_MS = 60 * SECOND_MS;

	private static final long HOUR_MS = 60 * MINUTE_MS;

	private static final long KIBIBYTE = 1_024;

	private static final long MEBIBYTE = 1_024 * KIBIBYTE;

	private static final long MEGABIT_BYTES = 1_000_000 / 8;

	private static final List<SettingsKey<?>> ALL = new ArrayList<>();

	/** Name of the daemon. */
	public static final SettingsKey<String> NAME = define("daemon", "name", new NameType(), null);

	/** Region of the daemon. */
	public static final SettingsKey<String> REGION = define("daemon", "region", new NameType(), null);

	/** Failure domain of the daemon within its region. */
	public static final SettingsKey<String> FAILURE_DOMAIN = define("daemon", "failure-domain", new NameType(), null);

	/** Lowest level at which events are logged. */
	public static final SettingsKey<Level> LOG_LEVEL = define("daemon", "log-level", new LevelType(), "info");

	/** Address on which the daemon accepts callers. */
	public static final SettingsKey<String> CALLER_ADDRESS = define("callers", "address", new AddressType(true), null);

	/** Port on which the daemon accepts callers. */
	public static final SettingsKey<Long> CALLER_PORT = define("callers", "port", NumberType.port(), null);

	/** Address on which the daemon accepts links from other daemons. */
	public static final SettingsKey<String> PEER_ADDRESS = define("peers", "address", new AddressType(false), null);

	/** Port on which the daemon accepts links from other daemons. */
	public static final SettingsKey<Long> PEER_PORT = define("peers", "port", NumberType.port(), null);

	/** Addresses of the daemons to contact in order to join the fleet. */
	public static final SettingsKey<List<HostAddress>> SEEDS = define("peers", "seeds", new HostListType(), "");

	/** Key that all daemons of the fleet share. */
	public static final SettingsKey<SharedKey> SHARED_KEY = define("peers", "shared-key", new SharedKeyType(), null);

	/** Address of the admin interface. */
	public static final SettingsKey<String> ADMIN_ADDRESS = define("admin", "address", new AddressType(true), null);

	/** Port of the admin interface. */
	public static final SettingsKey<Long> ADMIN_PORT = define("admin", "port", NumberType.port(), null);

	/** Number of audit entries that are kept. */
	public static final SettingsKey<Long> AUDIT_ENTRIES = define("admin", "audit-entries",
			NumberType.count(64, 100_000), "4096");

	/** Base URL of the configuration store. */
	public static final SettingsKey<URI> STORE_URL = define("store", "base-url", new UrlType(), null);

	/** Timeout of a read from the store. */
	public static final SettingsKey<Long> STORE_CALL_TIMEOUT = define("store", "call-timeout",
			NumberType.duration(100, MINUTE_MS), "2 s");

	/**
	 * Time that a watch request waits for a change. The maximum is 8 s because a daemon
	 * that gets no answer from the store for 10 s is considered cut off.
	 */
	public static final SettingsKey<Long> STORE_WATCH_WAIT = define("store", "watch-wait",
			NumberType.duration(SECOND_MS, 8 * SECOND_MS), "3 s");

	/** Maximum size of a caller's request head. */
	public static final SettingsKey<Long> HEAD_SIZE = define("limits", "head-size",
			NumberType.size(KIBIBYTE, 256 * KIBIBYTE), "16 KiB");

	/** Maximum size of a request body that is buffered for a retry. */
	public static final SettingsKey<Long> REPLAY_BODY_SIZE = define("limits", "replay-body-size",
			NumberType.size(0, MEBIBYTE), "64 KiB");

	/** Maximum number of caller connections. */
	public static final SettingsKey<Long> CALLER_CONNECTIONS = define("limits", "caller-connections",
			NumberType.count(1, 100_000), "4000");

	/** Time within which a caller must send a request head. */
	public static final SettingsKey<Long> HEAD_TIMEOUT = define("limits", "head-timeout",
			NumberType.duration(100, 5 * MINUTE_MS), "10 s");

	/** Time for which a body transfer may make no progress. */
	public static final SettingsKey<Long> BODY_TIMEOUT = define("limits", "body-timeout",
			NumberType.duration(100, HOUR_MS), "30 s");

	/** Time after which an idle connection is closed. */
	public static final SettingsKey<Long> IDLE_TIMEOUT = define("limits", "idle-timeout",
			NumberType.duration(SECOND_MS, HOUR_MS), "60 s");

	/** Capacity of the link to other regions. */
	public static final SettingsKey<Long> REGION_LINK_RATE = define("limits", "region-link-rate",
			NumberType.rate(MEGABIT_BYTES, 100_000 * MEGABIT_BYTES), "30 Mbit/s");

	/** Share of the link to other regions that requests may use. */
	public static final SettingsKey<Double> REGION_LINK_SHARE = define("limits", "region-link-share", new ShareType(),
			"50 %");

	private SettingsKeys() {
	}

	/**
	 * Returns all keys.
	 * @return the keys in the order in which the operators' reference lists them
	 */
	public static List<SettingsKey<?>> all() {
		return List.copyOf(ALL);
	}

	private static <T> SettingsKey<T> define(String section, String name, ValueType<T> type,
			@Nullable String defaultText) {
		SettingsKey<T> key = new SettingsKey<>(section, name, type, defaultText);
		ALL.add(key);
		return key;
	}

}
