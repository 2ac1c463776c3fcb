package org.wigeonmast.verification.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeBackendServer;

/**
 * The proxy of a daemon in virtual time, which reports attempts as the contract of
 * dispatch says.
 * <p>
 * Thread safety: none. Invariant: an attempt that ended or was aborted reports nothing
 * more; its request may still run at the server once it was sent.
 */
final class VirtualProxy {

	private static final long CONNECT_MILLISECONDS = 1;

	private static final int OK = 200;

	private static final int ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private final Map<RequestId, Attempt> attempts = new HashMap<>();

	private final Set<HostAddress> silentConnections = new HashSet<>();

	private final Map<RequestId, Work> work = new HashMap<>();

	private final EventQueue queue;

	private final VirtualLoop loop;

	private final DaemonId self;

	private final FleetOracle oracle;

	private final Function<HostAddress, VirtualServer> servers;

	private final Consumer<RequestEvent> events;

	private final Faults faults;

	VirtualProxy(EventQueue queue, VirtualLoop loop, DaemonId self, FleetOracle oracle,
			Function<HostAddress, VirtualServer> servers, Consumer<RequestEvent> events, Faults faults) {
		this.queue = queue;
		this.loop = loop;
		this.self = self;
		this.oracle = oracle;
		this.servers = servers;
		this.events = events;
		this.faults = faults;
	}

	void accept(RequestId request, Work content) {
		this.work.put(request, content);
	}

	/**
	 * Makes the open connection to a server silent; new connections work.
	 * @param server the server
	 */
	void silence(HostAddress server) {
		this.silentConnections.add(server);
	}

	void execute(ExchangeCommand command) {
		switch (command) {
			case ExchangeCommand.StartAttempt start -> start(start);
			case ExchangeCommand.Relay relay -> {
				Attempt attempt = this.attempts.get(relay.request());
				if (attempt != null && attempt.start.attempt() == relay.attempt()) {
					this.faults.reached.accept("stream");
					attempt.relaying = true;
					this.loop.schedule(this.work.get(relay.request()).streaming, () -> complete(attempt));
				}
			}
			case ExchangeCommand.Abort abort -> {
				Attempt attempt = this.attempts.get(abort.request());
				if (attempt != null && attempt.start.attempt() == abort.attempt()) {
					this.attempts.remove(abort.request());
				}
			}
			case ExchangeCommand.Refuse refuse -> {
				this.faults.reached.accept("end");
				told(refuse.request(), refuse.outcome());
			}
		}
	}

	private void start(ExchangeCommand.StartAttempt start) {
		Attempt attempt = new Attempt(start);
		VirtualServer server = this.servers.apply(start.server().address());
		this.attempts.put(start.request(), attempt);
		this.faults.reached.accept("connect");
		this.oracle.attempt(this.queue.milliseconds(), this.self, server.name);
		boolean silent = start.requirement() == ConnectionRequirement.ANY
				&& this.silentConnections.remove(server.address);
		long left = Math.max(0, start.deadline() - this.queue.milliseconds());
		this.loop.schedule(left, () -> expire(attempt));
		this.loop.schedule(CONNECT_MILLISECONDS, () -> {
			if (!isCurrent(attempt)) {
				return;
			}
			if (server.isRefusing()) {
				end(attempt, new AttemptReport.NothingSent("connection refused"));
				return;
			}
			attempt.sent = true;
			this.faults.reached.accept("send");
			if (!silent) {
				send(attempt, server);
			}
		});
	}

	private void send(Attempt attempt, VirtualServer server) {
		RequestId request = attempt.start.request();
		int copies = this.faults.duplicateAttempts ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			this.queue.schedule(500, () -> {
				this.faults.reached.accept("await");
				boolean leaving = server.isLeaving();
				server.receive(request, this.work.get(request).duration * EventQueue.MICROSECONDS_PER_MILLISECOND,
						(result) -> this.loop.schedule(1, () -> answered(attempt, server, result, leaving)));
			});
		}
	}

	private void answered(Attempt attempt, VirtualServer server, FakeBackendServer.Result result, boolean leaving) {
		if (!isCurrent(attempt) || attempt.relaying || attempt.answered) {
			return;
		}
		attempt.answered = true;
		if (leaving) {
			this.oracle.leavingSeen(this.queue.milliseconds(), this.self, server.name);
		}
		attempt.status = switch (result) {
			case SUCCEEDED -> OK;
			case FAILED -> ERROR;
			case SHED -> UNAVAILABLE;
		};
		report(attempt,
				new AttemptReport.ResponseStarted(attempt.status, result == FakeBackendServer.Result.SHED, leaving));
	}

	private void complete(Attempt attempt) {
		if (isCurrent(attempt)) {
			end(attempt, new AttemptReport.Completed(attempt.status));
			this.faults.reached.accept("end");
			told(attempt.start.request(), new RequestOutcome.Answered(attempt.status));
		}
	}

	private void expire(Attempt attempt) {
		if (!isCurrent(attempt)) {
			return;
		}
		if (!attempt.sent) {
			end(attempt, new AttemptReport.NothingSent("the deadline passed before the connection was made"));
			return;
		}
		end(attempt, new AttemptReport.Broken(attempt.relaying, true, "the deadline passed"));
		if (attempt.relaying) {
			told(attempt.start.request(), new RequestOutcome.Unknown("the answer broke"));
		}
	}

	private void told(RequestId request, RequestOutcome outcome) {
		RequestOutcome said = (this.faults.falseNotRun && outcome instanceof RequestOutcome.Unknown)
				? new RequestOutcome.NotRun("false", 0) : outcome;
		this.oracle.told(this.queue.milliseconds(), request, said);
	}

	private boolean isCurrent(Attempt attempt) {
		return this.attempts.get(attempt.start.request()) == attempt;
	}

	private void end(Attempt attempt, AttemptReport report) {
		this.attempts.remove(attempt.start.request());
		report(attempt, report);
	}

	private void report(Attempt attempt, AttemptReport report) {
		this.events.accept(new RequestEvent.AttemptProgress(attempt.start.request(), attempt.start.attempt(), report));
	}

	/**
	 * What a request costs.
	 *
	 * @param duration the time of service in milliseconds
	 * @param streaming the time in milliseconds that the answer takes after its head
	 */
	record Work(long duration, long streaming) {
	}

	/** Rules that a test breaks on purpose, and the observer of steps. */
	static final class Faults {

		boolean duplicateAttempts;

		boolean falseNotRun;

		Consumer<String> reached = (step) -> {
		};

	}

	private static final class Attempt {

		private final ExchangeCommand.StartAttempt start;

		private boolean sent;

		private boolean answered;

		private boolean relaying;

		private int status;

		private Attempt(ExchangeCommand.StartAttempt start) {
			this.start = start;
		}

	}

}
