package org.wigeonmast.admin;

/**
 * Whether a daemon is ready to serve.
 * <p>
 * Thread safety: immutable.
 *
 * @param ready whether it is ready
 * @param reason why it is not ready, or what it serves
 */
public record Readiness(boolean ready, String reason) {
}
