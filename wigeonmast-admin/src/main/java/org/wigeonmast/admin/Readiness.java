package org.wigeonmast.admin;

/**
 * The readiness of a daemon as served by {@code /ready}.
 * <p>
 * Thread safety: immutable.
 *
 * @param ready whether the daemon is ready to serve
 * @param reason why it is not ready, or the manifest that it serves
 */
public record Readiness(boolean ready, String reason) {
}
