package org.wigeonmast.settings.internal;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.Level;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

/**
 * All keys of a settings file.
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

	/** Least level of log events. */
	public static final SettingsKey<Level> LOG_LEVEL = define("daemon", "log-level", new LevelType(), "info");

	/** Address for callers. */
	public static final SettingsKey<String> CALLER_ADDRESS = define("callers", "address", new AddressType(true), null);

	/** Port for callers. */
	public static final SettingsKey<Long> CALLER_PORT = define("callers", "port", NumberType.port(), null);

	/** Address for other daemons. */
	public static final SettingsKey<String> PEER_ADDRESS = define("peers", "address", new AddressType(false), null);

	/** Port for other daemons. */
	public static final SettingsKey<Long> PEER_PORT = define("peers", "port", NumberType.port(), null);

	/** Daemons to ask first. */
	public static final SettingsKey<List<HostAddress>> SEEDS = define("peers", "seeds", new HostListType(), "");

	/** Key that all daemons share. */
	public static final SettingsKey<SharedKey> SHARED_KEY = define("peers", "shared-key", new SharedKeyType(), null);

	/** Address for operators. */
	public static final SettingsKey<String> ADMIN_ADDRESS = define("admin", "address", new AddressType(true), null);

	/** Port for operators. */
	public static final SettingsKey<Long> ADMIN_PORT = define("admin", "port", NumberType.port(), null);

	/** Number of audit entries that are kept. */
	public static final SettingsKey<Long> AUDIT_ENTRIES = define("admin", "audit-entries", NumberType.count(64, 100_000),
			"4096");

	/** URL of the configuration store. */
	public static final SettingsKey<URI> STORE_URL = define("store", "base-url", new UrlType(), null);

	/** Time for a read of the store. */
	public static final SettingsKey<Long> STORE_CALL_TIMEOUT = define("store", "call-timeout",
			NumberType.duration(100, MINUTE_MS), "2 s");

	/**
	 * Time that a watch of the store waits; a daemon without any answer for 10 s counts
	 * as cut off.
	 */
	public static final SettingsKey<Long> STORE_WATCH_WAIT = define("store", "watch-wait",
			NumberType.duration(SECOND_MS, 8 * SECOND_MS), "3 s");

	/** Size of a caller's request head. */
	public static final SettingsKey<Long> HEAD_SIZE = define("limits", "head-size",
			NumberType.size(KIBIBYTE, 256 * KIBIBYTE), "16 KiB");

	/** Size of a body that can be sent again. */
	public static final SettingsKey<Long> REPLAY_BODY_SIZE = define("limits", "replay-body-size",
			NumberType.size(0, MEBIBYTE), "64 KiB");

	/** Number of connections of callers. */
	public static final SettingsKey<Long> CALLER_CONNECTIONS = define("limits", "caller-connections",
			NumberType.count(1, 100_000), "4000");

	/** Time for a request head. */
	public static final SettingsKey<Long> HEAD_TIMEOUT = define("limits", "head-timeout",
			NumberType.duration(100, 5 * MINUTE_MS), "10 s");

	/** Time that a body may stand still. */
	public static final SettingsKey<Long> BODY_TIMEOUT = define("limits", "body-timeout", NumberType.duration(100, HOUR_MS),
			"30 s");

	/** Time after which an unused connection is closed. */
	public static final SettingsKey<Long> IDLE_TIMEOUT = define("limits", "idle-timeout",
			NumberType.duration(SECOND_MS, HOUR_MS), "60 s");

	/** Capacity of the link to other regions. */
	public static final SettingsKey<Long> REGION_LINK_RATE = define("limits", "region-link-rate",
			NumberType.rate(MEGABIT_BYTES, 100_000 * MEGABIT_BYTES), "30 Mbit/s");

	/** Share of that link for work sent to other regions. */
	public static final SettingsKey<Double> REGION_LINK_SHARE = define("limits", "region-link-share", new ShareType(),
			"50 %");

	private SettingsKeys() {
	}

	/**
	 * Returns all keys.
	 * @return the keys in the order of the reference
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
