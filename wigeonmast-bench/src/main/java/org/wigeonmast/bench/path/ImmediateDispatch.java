package org.wigeonmast.bench.path;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.manifest.BackendServer;

/**
 * Dispatch that picks the one server at once, on a thread of its own as in the daemon.
 * <p>
 * Thread safety: usable from any thread.
 */
final class ImmediateDispatch implements Consumer<RequestEvent>, AutoCloseable {

	/** Name of the thread that takes the place of the control thread. */
	static final String THREAD = "bench-control";

	private final ExecutorService control = Executors
		.newSingleThreadExecutor((task) -> Thread.ofPlatform().name(THREAD).daemon().unstarted(task));

	private final BackendServer server;

	private final boolean inline;

	private @Nullable Consumer<ExchangeCommand> commands;

	/**
	 * Creates a dispatch.
	 * @param server the server
	 * @param inline whether to decide on the traffic thread, which shows what the two
	 * changes of thread cost
	 */
	ImmediateDispatch(BackendServer server, boolean inline) {
		this.server = server;
		this.inline = inline;
	}

	/**
	 * Sets where commands go, before the first event.
	 * @param commands takes the commands
	 */
	void setCommands(Consumer<ExchangeCommand> commands) {
		this.commands = commands;
	}

	@Override
	public void accept(RequestEvent event) {
		if (this.inline) {
			handle(event);
		}
		else {
			this.control.execute(() -> handle(event));
		}
	}

	private void handle(RequestEvent event) {
		ExchangeCommand command = switch (event) {
			case RequestEvent.Accepted accepted -> new ExchangeCommand.StartAttempt(accepted.request().id(), 1,
					this.server, ConnectionRequirement.ANY, accepted.request().deadline());
			case RequestEvent.AttemptProgress progress -> handle(progress);
			case RequestEvent.CallerLeft left -> null;
		};
		if (command != null && this.commands != null) {
			this.commands.accept(command);
		}
	}

	private static @Nullable ExchangeCommand handle(RequestEvent.AttemptProgress progress) {
		return switch (progress.report()) {
			case AttemptReport.ResponseStarted started ->
				new ExchangeCommand.Relay(progress.request(), progress.attempt());
			case AttemptReport.NothingSent nothing ->
				new ExchangeCommand.Refuse(progress.request(), new RequestOutcome.NotRun(nothing.reason(), 0));
			case AttemptReport.Broken broken ->
				new ExchangeCommand.Refuse(progress.request(), new RequestOutcome.Unknown(broken.reason()));
			case AttemptReport.Completed completed -> null;
		};
	}

	@Override
	public void close() {
		this.control.shutdownNow();
	}

}
