package org.wigeonmast.admin.internal;

import io.jooby.netty.NettyServer;

/**
 * Jooby's Netty server without its shutdown hook.
 * <p>
 * Thread safety: as {@link NettyServer}. Invariant: only {@link #stop()} stops it.
 * Jooby's hook would stop it on SIGTERM, while the daemon still finishes its requests in
 * flight and must report through {@code /ready} that it is not ready.
 */
public final class AdminNettyServer extends NettyServer {

	@Override
	protected void addShutdownHook() {
	}

}
