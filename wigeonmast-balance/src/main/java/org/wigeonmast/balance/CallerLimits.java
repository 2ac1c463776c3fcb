package org.wigeonmast.balance;

/**
 * Bounds on what a caller may send and how long it may take.
 * <p>
 * Thread safety: immutable.
 *
 * @param headBytes the greatest size of all header fields of a request
 * @param bodyBytes the largest request body
 * @param headTimeout the time in milliseconds for a request head
 * @param idleTimeout the time in milliseconds that a connection may be idle
 */
public record CallerLimits(int headBytes, long bodyBytes, long headTimeout, long idleTimeout) {
}
