package org.wigeonmast.balance;

/**
 * Limits on the size and the duration of what a caller sends.
 * <p>
 * Thread safety: immutable.
 *
 * @param headBytes the maximum size in bytes of all header fields of a request
 * @param bodyBytes the maximum size in bytes of a request body
 * @param headTimeout the maximum time in milliseconds to receive a request head
 * @param idleTimeout the maximum time in milliseconds that a connection may be idle
 */
public record CallerLimits(int headBytes, long bodyBytes, long headTimeout, long idleTimeout) {
}
