package org.wigeonmast.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.net.URI;

import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.jspecify.annotations.Nullable;

/**
 * Log4j API provider that writes JSON lines to standard output. Log4j Core takes half of
 * the CPU time of a start, for features that this daemon does not use. Selected with
 * {@code -Dlog4j2.loggerContextFactory}.
 * <p>
 * Thread safety: usable from any thread.
 */
public final class JsonLogContextFactory implements LoggerContextFactory {

	private final JsonLogContext context = new JsonLogContext(
			new LineQueue(new FileOutputStream(FileDescriptor.out), LineQueue.CAPACITY));

	@Override
	public LoggerContext getContext(String fqcn, @Nullable ClassLoader loader, @Nullable Object externalContext,
			boolean currentContext) {
		return this.context;
	}

	@Override
	public LoggerContext getContext(String fqcn, @Nullable ClassLoader loader, @Nullable Object externalContext,
			boolean currentContext, @Nullable URI configLocation, @Nullable String name) {
		return this.context;
	}

	@Override
	public void removeContext(LoggerContext removed) {
		// The single context lives as long as the process.
	}

	@Override
	public void shutdown(String fqcn, @Nullable ClassLoader loader, boolean currentContext, boolean allContexts) {
		this.context.terminate();
	}

	@Override
	public boolean isClassLoaderDependent() {
		return false;
	}

}
