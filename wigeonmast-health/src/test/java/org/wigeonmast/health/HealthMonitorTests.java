package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.ToLongFunction;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.WorkClass;

import static com.google.common.truth.Truth.assertThat;

class HealthMonitorTests {

	private static final Region ADDIS = new Region("addis");

	private static final ServiceName SERVICE = new ServiceName("rota-board");

	private static final FailureDomain DOMAIN = new FailureDomain(ADDIS, "a");

	private static final List<DaemonId> VOTERS = List.of(new DaemonId("daemon-1", 1), new DaemonId("daemon-2", 1));

	private static final int SERVERS = 8;

	private static final int DAEMONS = 36;

	private final Random random = new Random(5);

	private HealthMonitor monitor = monitor();

	private long now;

	private boolean grantPromises;

	private boolean slotsBlocked;

	@BeforeEach
	void warmUp() {
		run(10_000, this::healthyDuration, (server) -> Observation.Result.SUCCEEDED);
	}

	/** Guards against a slow server that stays in service. */
	@Test
	void slowServerIsAvoidedWithinTwoSeconds() {
		run(2_000, (server) -> healthyDuration(server) * ((server == 3) ? 10 : 1),
				(server) -> Observation.Result.SUCCEEDED);
		assertThat(avoidedServers()).containsExactly("server-3");
	}

	/** Guards against errors that are overlooked because failed answers are fast. */
	@Test
	void failingServerIsAvoidedWithinTwoSeconds() {
		run(2_000, this::healthyDuration, (server) -> (server == 3 && this.random.nextBoolean())
				? Observation.Result.FAILED : Observation.Result.SUCCEEDED);
		assertThat(avoidedServers()).containsExactly("server-3");
	}

	/** Guards against ejection when the whole service is overloaded. */
	@Test
	void noServerIsAvoidedWhenAllAreSlow() {
		run(10_000, (server) -> healthyDuration(server) * 10, (server) -> Observation.Result.SUCCEEDED);
		assertThat(avoidedServers()).isEmpty();
	}

	/** Guards against load shedding that is taken for an unhealthy server. */
	@Test
	void sheddingServerIsNotAvoided() {
		run(10_000, this::healthyDuration, (server) -> (server == 3 && this.random.nextBoolean())
				? Observation.Result.SHED : Observation.Result.SUCCEEDED);
		assertThat(avoidedServers()).isEmpty();
	}

	/**
	 * Guards against ejections that never end, and against explanations without the
	 * reason.
	 */
	@Test
	void slowServerIsEjectedUnderAPermitAndReturns() {
		this.grantPromises = true;
		this.monitor.handle(this.now, new HealthInput.VotersChanged(Map.of(DOMAIN, VOTERS)));
		run(2_000, (server) -> healthyDuration(server) * ((server == 3) ? 10 : 1),
				(server) -> Observation.Result.SUCCEEDED);
		assertThat(state(3)).isEqualTo(ServerHealth.State.EJECTED);
		String text = this.monitor.explain(this.now, new BackendServerId("server-3")).text();
		assertThat(text).contains("slow short work");
		assertThat(text.lines().count()).isAtMost(24);
		run(15_000, this::healthyDuration, (server) -> Observation.Result.SUCCEEDED);
		assertThat(state(3)).isEqualTo(ServerHealth.State.RAMPING);
		run(15_000, this::healthyDuration, (server) -> Observation.Result.SUCCEEDED);
		assertThat(state(3)).isEqualTo(ServerHealth.State.SERVING);
	}

	/**
	 * Guards against work that is sent to a server after it announced that it is leaving.
	 */
	@Test
	void leavingServerGetsNoWork() {
		List<HealthEffect> effects = this.monitor.handle(this.now,
				new HealthInput.AvailabilityChanged(new BackendServerId("server-3"), Availability.LEAVING));
		assertThat(state(3)).isEqualTo(ServerHealth.State.LEAVING);
		assertThat(this.monitor.servers(this.now).get(3).weight()).isEqualTo(0);
		assertThat(effects.stream().anyMatch((effect) -> effect instanceof HealthEffect.HealthChanged)).isTrue();
	}

	/**
	 * Guards against requests that wait behind one long request and count as independent
	 * slow requests, which led to the ejection of healthy servers.
	 */
	@Test
	void requestsThatWaitBehindOthersAreNoEvidence() {
		this.slotsBlocked = true;
		run(20_000, this::healthyDuration, (server) -> Observation.Result.SUCCEEDED);
		assertThat(avoidedServers()).isEmpty();
	}

	/**
	 * Reports long work that holds one slot of server 3 and a short request that holds
	 * the other for 600 ms of every 2 s, while ten requests wait.
	 */
	private void reportBlockedSlots() {
		long phase = this.now % 2_000;
		BackendServerId server = new BackendServerId("server-3");
		List<HealthInput.RunningRequest> running = (phase < 1_500)
				? List.of(new HealthInput.RunningRequest(server, WorkClass.LONG, 500 + phase)) : List.of();
		this.monitor.handle(this.now, new HealthInput.InFlightReport(VOTERS.getFirst(), running));
		if (phase == 850) {
			for (int waiting = 0; waiting <= 10; waiting++) {
				long end = 600 + 20 * waiting;
				Observation observation = new Observation(SERVICE, server, WorkClass.SHORT, VOTERS.getLast(),
						Observation.Result.SUCCEEDED, end - 50 * waiting);
				this.monitor.handle(this.now, new HealthInput.RequestObserved(observation, phase - end));
			}
		}
	}

	private ServerHealth.State state(int server) {
		return this.monitor.servers(this.now).get(server).state();
	}

	/** Answers promise requests as daemons that refuse none. */
	private void answerPromiseRequests(List<HealthEffect> effects) {
		for (HealthEffect effect : effects) {
			if (this.grantPromises
					&& effect instanceof HealthEffect.Send(DaemonId to, HealthMessage.PromiseRequest request)) {
				answerPromiseRequests(this.monitor.handle(this.now,
						new HealthInput.MessageReceived(to, new HealthMessage.PromiseReply(SERVICE, request.permit(),
								request.server(), request.sequence(), HealthMessage.Refusal.NONE, request.server()))));
			}
		}
	}

	private long healthyDuration(int server) {
		return Math.round(20 * Math.exp(0.7 * this.random.nextGaussian()));
	}

	private void run(long time, ToLongFunction<Integer> duration, Function<Integer, Observation.Result> result) {
		long end = this.now + time;
		while (this.now < end) {
			this.now += 50;
			for (int server = 0; server < SERVERS; server++) {
				DaemonId daemon = new DaemonId("daemon-" + this.random.nextInt(DAEMONS), 1);
				Observation observation = new Observation(SERVICE, new BackendServerId("server-" + server),
						WorkClass.SHORT, daemon, result.apply(server), duration.applyAsLong(server));
				if (!this.slotsBlocked || server != 3) {
					this.monitor.handle(this.now, new HealthInput.RequestObserved(observation, 0));
				}
			}
			if (this.slotsBlocked) {
				reportBlockedSlots();
			}
			if (this.now >= this.monitor.nextTick()) {
				answerPromiseRequests(this.monitor.tick(this.now));
			}
		}
	}

	private List<String> avoidedServers() {
		return this.monitor.servers(this.now)
			.stream()
			.filter((server) -> server.state() == ServerHealth.State.AVOIDED)
			.map((server) -> server.server().value())
			.toList();
	}

	private static HealthMonitor monitor() {
		List<ServicePlan.Server> servers = new ArrayList<>();
		for (int server = 0; server < SERVERS; server++) {
			servers.add(new ServicePlan.Server(new BackendServerId("server-" + server), ADDIS, 2));
		}
		ServicePlan plan = new ServicePlan(SERVICE, servers, 6, List.of(new ServicePlan.Domain(DOMAIN, 3)));
		return new HealthMonitor(new DaemonId("daemon-0", 1), ADDIS, plan);
	}

}
