package org.wigeonmast.admin.internal;

import io.jooby.netty.NettyServer;

/**
 * Jooby's Netty server without its shutdown hook.
 * <p>
 * Thread safety: as {@link NettyServer}. Invariant: only {@link #stop()} ends it. Jooby's
 * hook would end it on SIGTERM, while the daemon still finishes requests and has to
 * report that it is not ready.
 */
public final class AdminNettyServer extends NettyServer {

	@Override
	protected void addShutdownHook() {
	}

}
