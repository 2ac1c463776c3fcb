package org.wigeonmast.proxy.internal;

/**
 * Why a request was rejected before it was routed to dispatch.
 * <p>
 * Thread safety: immutable.
 *
 * @param problem the kind of problem
 * @param detail what is wrong with this request
 */
record Rejection(Problem problem, String detail) {
}
