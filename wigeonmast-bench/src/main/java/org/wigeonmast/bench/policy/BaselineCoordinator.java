package org.wigeonmast.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.CoordinatorInput;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;

/**
 * The usual dispatch of a single proxy, as a baseline: random choice, or round robin with
 * ejection of servers that fail several times in a row.
 * <p>
 * Thread safety: none.
 */
final class BaselineCoordinator implements Component<CoordinatorInput, DispatchEffect> {

	private static final int MOST_ATTEMPTS = 3;

	private static final int FAILURES_IN_A_ROW = 5;

	private static final long EJECTION = 5000;

	private final Map<RequestId, Active> requests = new HashMap<>();

	private final Map<BackendServerId, Integer> failures = new HashMap<>();

	private final Map<BackendServerId, Long> ejectedUntil = new HashMap<>();

	private final List<BackendServer> servers;

	private final boolean roundRobin;

	private final Random random;

	private Set<BackendServerId> avoided = new HashSet<>();

	private int turn;

	BaselineCoordinator(List<BackendServer> servers, boolean roundRobin, Random random) {
		this.servers = servers;
		this.roundRobin = roundRobin;
		this.random = random;
		this.turn = random.nextInt(servers.size());
	}

	@Override
	public List<DispatchEffect> handle(long now, CoordinatorInput input) {
		if (input instanceof CoordinatorInput.HealthChanged changed) {
			this.avoided = new HashSet<>(changed.servers().stream().map(ServerHealth::server).toList());
		}
		if (!(input instanceof CoordinatorInput.ProxyReport proxied)) {
			return List.of();
		}
		return switch (proxied.event()) {
			case RequestEvent.Accepted accepted -> {
				Active active = new Active(accepted.request());
				this.requests.put(accepted.request().id(), active);
				yield attempt(now, active);
			}
			case RequestEvent.AttemptProgress progress -> {
				Active active = this.requests.get(progress.request());
				yield (active != null && active.attempt == progress.attempt())
						? progress(now, active, progress.report()) : List.of();
			}
			case RequestEvent.CallerLeft _ -> List.of();
		};
	}

	@Override
	public List<DispatchEffect> tick(long now) {
		return List.of();
	}

	@Override
	public long nextTick() {
		return NO_TIMER;
	}

	private List<DispatchEffect> progress(long now, Active active, AttemptReport report) {
		RequestId id = active.request.id();
		return switch (report) {
			case AttemptReport.ResponseStarted started when started.notRun() -> {
				failed(now, active.server);
				List<DispatchEffect> effects = new ArrayList<>();
				effects.add(new DispatchEffect.Exchange(new ExchangeCommand.Abort(id, active.attempt)));
				effects.addAll((active.attempt < MOST_ATTEMPTS) ? attempt(now, active)
						: end(active, new RequestOutcome.NotRun("every server was busy", 0), true));
				yield effects;
			}
			case AttemptReport.ResponseStarted _ -> {
				this.failures.remove(active.server);
				yield List.of(new DispatchEffect.Exchange(new ExchangeCommand.Relay(id, active.attempt)));
			}
			case AttemptReport.Completed completed ->
				end(active, new RequestOutcome.Answered(completed.status()), false);
			case AttemptReport.Broken _ -> {
				failed(now, active.server);
				yield end(active, new RequestOutcome.Unknown("the server did not answer in time"), true);
			}
			case AttemptReport.NothingSent _ -> end(active, new RequestOutcome.NotRun("not connected", 0), true);
		};
	}

	private List<DispatchEffect> attempt(long now, Active active) {
		if (now >= active.request.deadline()) {
			return end(active, new RequestOutcome.NotRun("the deadline passed", 0), true);
		}
		BackendServer server = choose(now, active.tried);
		active.attempt++;
		active.server = server.id();
		active.tried.add(server.id());
		return List.of(new DispatchEffect.Exchange(new ExchangeCommand.StartAttempt(active.request.id(), active.attempt,
				server, ConnectionRequirement.ANY, active.request.deadline())));
	}

	private BackendServer choose(long now, Set<BackendServerId> tried) {
		List<BackendServer> candidates = new ArrayList<>();
		for (BackendServer server : this.servers) {
			boolean ejected = this.roundRobin && this.ejectedUntil.getOrDefault(server.id(), 0L) > now;
			if (!tried.contains(server.id()) && !this.avoided.contains(server.id()) && !ejected) {
				candidates.add(server);
			}
		}
		List<BackendServer> choice = candidates.isEmpty() ? this.servers : candidates;
		return choice.get(this.roundRobin ? this.turn++ % choice.size() : this.random.nextInt(choice.size()));
	}

	private void failed(long now, BackendServerId server) {
		if (this.failures.merge(server, 1, Integer::sum) >= FAILURES_IN_A_ROW) {
			this.failures.remove(server);
			this.ejectedUntil.put(server, now + EJECTION);
		}
	}

	private List<DispatchEffect> end(Active active, RequestOutcome outcome, boolean refused) {
		this.requests.remove(active.request.id());
		List<DispatchEffect> effects = new ArrayList<>();
		if (refused) {
			effects.add(new DispatchEffect.Exchange(new ExchangeCommand.Refuse(active.request.id(), outcome)));
		}
		effects.add(new DispatchEffect.Ended(active.request.id(), outcome));
		return effects;
	}

	private static final class Active {

		private final RequestDescription request;

		private final Set<BackendServerId> tried = new HashSet<>();

		private int attempt;

		private BackendServerId server = new BackendServerId("");

		private Active(RequestDescription request) {
			this.request = request;
		}

	}

}
