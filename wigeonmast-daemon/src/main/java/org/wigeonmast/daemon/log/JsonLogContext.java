package org.wigeonmast.daemon.log;

import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerRegistry;
import org.apache.logging.log4j.spi.Terminable;
import org.jspecify.annotations.Nullable;

/**
 * Logger context that holds the loggers of the process.
 * <p>
 * Thread safety: usable from any thread.
 */
final class JsonLogContext implements LoggerContext, Terminable {

	private final LoggerRegistry<ExtendedLogger> loggers = new LoggerRegistry<>();

	private final LineQueue lines;

	JsonLogContext(LineQueue lines) {
		this.lines = lines;
	}

	@Override
	public @Nullable Object getExternalContext() {
		return null;
	}

	@Override
	public ExtendedLogger getLogger(String name) {
		return getLogger(name, null);
	}

	@Override
	public ExtendedLogger getLogger(String name, @Nullable MessageFactory factory) {
		ExtendedLogger known = this.loggers.getLogger(name, factory);
		if (known == null) {
			this.loggers.putIfAbsent(name, factory, new JsonLogger(name, this.lines));
			known = this.loggers.getLogger(name, factory);
		}
		return known;
	}

	@Override
	public boolean hasLogger(String name) {
		return this.loggers.hasLogger(name);
	}

	@Override
	public boolean hasLogger(String name, MessageFactory factory) {
		return this.loggers.hasLogger(name, factory);
	}

	@Override
	public boolean hasLogger(String name, Class<? extends MessageFactory> factory) {
		return this.loggers.hasLogger(name, factory);
	}

	@Override
	public void terminate() {
		this.lines.close();
	}

}
