package org.wigeonmast.proxy.internal;

/**
 * Reason for rejecting a request before it reaches dispatch.
 * <p>
 * Thread safety: immutable.
 *
 * @param problem the kind of problem
 * @param detail the cause for this request
 */
record Rejection(Problem problem, String detail) {
}
