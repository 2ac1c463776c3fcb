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

	private static final long SECOND = 1_000;

	private static final long MINUTE = 60 * SECOND;

	private static final long HOUR = 60 * MINUTE;

	private static final long KIBIBYTE = 1_024;

	private static final long MEBIBYTE = 1_024 * KIBIBYTE;

	private static final long MEGABIT = 1_000_000 / 8;

	private static final List<SettingsKey<?>> ALL = new ArrayList<>();

	/** Name of the daemon. */
	public static final SettingsKey<String> NAME = key("daemon", "name", new NameType(), null);

	/** Region of the daemon. */
	public static final SettingsKey<String> REGION = key("daemon", "region", new NameType(), null);

	/** Failure domain of the daemon within its region. */
	public static final SettingsKey<String> FAILURE_DOMAIN = key("daemon", "failure-domain", new NameType(), null);

	/** Least level of log events. */
	public static final SettingsKey<Level> LOG_LEVEL = key("daemon", "log-level", new LevelType(), "info");

	/** Address for callers. */
	public static final SettingsKey<String> CALLER_ADDRESS = key("callers", "address", new AddressType(true), null);

	/** Port for callers. */
	public static final SettingsKey<Long> CALLER_PORT = key("callers", "port", NumberType.port(), null);

	/** Address for other daemons. */
	public static final SettingsKey<String> PEER_ADDRESS = key("peers", "address", new AddressType(false), null);

	/** Port for other daemons. */
	public static final SettingsKey<Long> PEER_PORT = key("peers", "port", NumberType.port(), null);

	/** Daemons to ask first. */
	public static final SettingsKey<List<HostAddress>> SEEDS = key("peers", "seeds", new HostListType(), "");

	/** Key that all daemons share. */
	public static final SettingsKey<SharedKey> SHARED_KEY = key("peers", "shared-key", new SharedKeyType(), null);

	/** Address for operators. */
	public static final SettingsKey<String> ADMIN_ADDRESS = key("admin", "address", new AddressType(true), null);

	/** Port for operators. */
	public static final SettingsKey<Long> ADMIN_PORT = key("admin", "port", NumberType.port(), null);

	/** Number of audit entries that are kept. */
	public static final SettingsKey<Long> AUDIT_ENTRIES = key("admin", "audit-entries", NumberType.count(64, 100_000),
			"4096");

	/** URL of the configuration store. */
	public static final SettingsKey<URI> STORE_URL = key("store", "base-url", new UrlType(), null);

	/** Time for a read of the store. */
	public static final SettingsKey<Long> STORE_CALL_TIMEOUT = key("store", "call-timeout",
			NumberType.duration(100, MINUTE), "2 s");

	/**
	 * Time that a watch of the store waits for a change. The maximum is below the 10 s
	 * without any message or answer after which a daemon counts as cut off.
	 */
	public static final SettingsKey<Long> STORE_WATCH_WAIT = key("store", "watch-wait",
			NumberType.duration(SECOND, 8 * SECOND), "3 s");

	/** Size of a caller's request head. */
	public static final SettingsKey<Long> HEAD_SIZE = key("limits", "head-size",
			NumberType.size(KIBIBYTE, 256 * KIBIBYTE), "16 KiB");

	/** Size of a body that can be sent again. */
	public static final SettingsKey<Long> REPLAY_BODY_SIZE = key("limits", "replay-body-size",
			NumberType.size(0, MEBIBYTE), "64 KiB");

	/** Number of connections of callers. */
	public static final SettingsKey<Long> CALLER_CONNECTIONS = key("limits", "caller-connections",
			NumberType.count(1, 100_000), "4000");

	/** Time for a request head. */
	public static final SettingsKey<Long> HEAD_TIMEOUT = key("limits", "head-timeout",
			NumberType.duration(100, 5 * MINUTE), "10 s");

	/** Time that a body may stand still. */
	public static final SettingsKey<Long> BODY_TIMEOUT = key("limits", "body-timeout", NumberType.duration(100, HOUR),
			"30 s");

	/** Time after which an unused connection is closed. */
	public static final SettingsKey<Long> IDLE_TIMEOUT = key("limits", "idle-timeout",
			NumberType.duration(SECOND, HOUR), "60 s");

	/** Capacity of the link to other regions. */
	public static final SettingsKey<Long> REGION_LINK_RATE = key("limits", "region-link-rate",
			NumberType.rate(MEGABIT, 100_000 * MEGABIT), "30 Mbit/s");

	/** Share of that link for work sent to other regions. */
	public static final SettingsKey<Double> REGION_LINK_SHARE = key("limits", "region-link-share", new ShareType(),
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

	private static <T> SettingsKey<T> key(String section, String name, ValueType<T> type,
			@Nullable String defaultText) {
		SettingsKey<T> key = new SettingsKey<>(section, name, type, defaultText);
		ALL.add(key);
		return key;
	}

}
