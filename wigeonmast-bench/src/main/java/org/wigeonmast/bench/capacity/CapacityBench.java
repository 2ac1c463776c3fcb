package org.wigeonmast.bench.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.wigeonmast.bench.Bench;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.AttemptResult;
import org.wigeonmast.dispatch.DispatchCodec;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.DispatchMode;
import org.wigeonmast.dispatch.QueueOrder;
import org.wigeonmast.dispatch.SlotAllocator;
import org.wigeonmast.health.HealthCodec;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.HealthMessage;
import org.wigeonmast.health.HealthMonitor;
import org.wigeonmast.health.Observation;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.health.ServicePlan;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.membership.MemberStatus;
import org.wigeonmast.membership.ownership.Ownership;

/**
 * Measures the bytes of control messages, and the heap and processor time of owners.
 * <p>
 * Thread safety: none; one thread runs a bench.
 */
public final class CapacityBench implements Bench {

	private static final int SERVERS = 8;

	private static final int INSTANCES = 2000;

	private static final int OBSERVATIONS = 2_000_000;

	private static final int SLOTS = 2;

	private static final int DAEMONS = 3000;

	private static final int SERVICES = 980;

	private static final int REGIONS = 6;

	private static final int CHANGES = 20;

	private static final Region REGION = new Region("region-1");

	private static final FailureDomain DOMAIN = new FailureDomain(REGION, "domain-1");

	private static final ServiceName SERVICE = new ServiceName("service-0042");

	private static final DaemonId DAEMON = new DaemonId("entry-0042", 1_796_369_221_860L);

	private final PrintStream output = System.out;

	@Override
	public String name() {
		return "capacity";
	}

	@Override
	public String description() {
		return "bytes of control messages, heap and processor time of owners";
	}

	@Override
	public int run(String[] arguments) {
		printDispatchSizes();
		printHealthSizes();
		printHeap();
		printProcessorTime();
		printOwnershipTime();
		return 0;
	}

	private void printDispatchSizes() {
		BackendServerId server = server(1).id();
		DispatchMessage.AttemptOutcome outcome = new DispatchMessage.AttemptOutcome(server, WorkClass.SHORT,
				AttemptResult.SUCCEEDED, 25);
		DispatchMessage.HeldSlot held = new DispatchMessage.HeldSlot(123_456, server, WorkClass.SHORT, 900);
		print(new DispatchMessage.OutcomeReport(SERVICE, List.of(outcome), List.of(), List.of(), 123_456));
		print(new DispatchMessage.OutcomeReport(SERVICE, List.of(outcome), List.of(held), List.of(), 123_456));
		print(new DispatchMessage.SlotRequest(123_456, SERVICE, WorkClass.SHORT, new CallerId("caller-12345"), 900,
				true, false, List.of()));
		print(new DispatchMessage.SlotGrant(SERVICE, 123_456, server, 900));
		print(new DispatchMessage.SlotRelease(SERVICE, 123_456, outcome));
		List<DispatchMessage.AdvisedServer> advised = new ArrayList<>();
		for (int index = 0; index < SERVERS; index++) {
			advised.add(new DispatchMessage.AdvisedServer(
					new ServerHealth(server(index).id(), ServerHealth.State.SERVING, 1), 0));
		}
		print(new DispatchMessage.DispatchAdvice(SERVICE, DispatchMode.DIRECT, List.of()));
		print(new DispatchMessage.DispatchAdvice(SERVICE, DispatchMode.DIRECT, advised));
	}

	private void printHealthSizes() {
		BackendServerId server = server(1).id();
		print(new HealthMessage.PromiseRequest(SERVICE, 1, server, 123_456, "slow, 45.3 ms median, peers 22.2 ms"));
		print(new HealthMessage.PromiseReply(SERVICE, 1, server, 123_456, HealthMessage.Refusal.NONE, server));
		print(new HealthMessage.EjectionQuery(SERVICE, 123_456));
		print(new HealthMessage.EjectionAdvice(SERVICE, 123_456, List
			.of(new HealthMessage.AdvisedEjection(server, 1, 2900, 20, false, "slow, 45.3 ms median, peers 22.2 ms"))));
	}

	private void print(DispatchMessage message) {
		print(message, new DispatchCodec().encode(message));
	}

	private void print(HealthMessage message) {
		print(message, new HealthCodec().encode(message));
	}

	private void print(Object message, byte[] bytes) {
		this.output.printf("%-16s %4d bytes%n", message.getClass().getSimpleName(), bytes.length);
	}

	private void printHeap() {
		List<Object> kept = new ArrayList<>();
		long before = usedHeap();
		for (int index = 0; index < INSTANCES; index++) {
			kept.add(monitor(1000));
		}
		long monitors = usedHeap();
		for (int index = 0; index < INSTANCES; index++) {
			kept.add(new SlotAllocator(0, service(), REGION, QueueOrder.FIRST_IN_FIRST_OUT));
		}
		long allocators = usedHeap();
		this.output.printf("HealthMonitor of %d servers after 1000 observations: %d bytes%n", SERVERS,
				(monitors - before) / INSTANCES);
		this.output.printf("SlotAllocator of %d servers, idle: %d bytes%n", SERVERS,
				(allocators - monitors) / INSTANCES);
		this.output.println("instances kept: " + kept.size());
	}

	private void printProcessorTime() {
		monitor(OBSERVATIONS / 4);
		long start = System.nanoTime();
		monitor(OBSERVATIONS);
		long elapsed = System.nanoTime() - start;
		this.output.printf("HealthMonitor: %.2f microseconds for each observation, with a tick each 100 ms at 340/s%n",
				elapsed / 1000.0 / OBSERVATIONS);
	}

	// One member of one region is replaced; the owners of all services in all regions are
	// asked for again.
	private void printOwnershipTime() {
		List<Member> members = new ArrayList<>();
		for (int index = 0; index < DAEMONS; index++) {
			members.add(member(index, 1));
		}
		Ownership ownership = new Ownership();
		rankAll(ownership, members);
		long start = System.nanoTime();
		for (int change = 0; change < CHANGES; change++) {
			members.set(change, member(change, 2));
			rankAll(ownership, members);
		}
		this.output.printf("Ownership: %.1f ms for each change of a member (%d daemons, %d services, %d regions)%n",
				(System.nanoTime() - start) / 1e6 / CHANGES, DAEMONS, SERVICES, REGIONS);
	}

	private static void rankAll(Ownership ownership, List<Member> members) {
		ownership.update(members);
		for (int service = 0; service < SERVICES; service++) {
			for (int region = 0; region < REGIONS; region++) {
				ownership.rankedMembers(new ServiceName("service-" + service), new Region("region-" + region));
			}
		}
	}

	private static Member member(int index, long incarnation) {
		FailureDomain domain = new FailureDomain(new Region("region-" + index % REGIONS), "a");
		return new Member(new DaemonId("entry-" + index, incarnation), 0, new HostAddress("10.1.2.3", index), domain,
				MemberPhase.READY, MemberStatus.LIVE);
	}

	// 340 observations a second are 8 servers with the design load of 17 requests/s and
	// more.
	private static HealthMonitor monitor(int observations) {
		HealthMonitor monitor = new HealthMonitor(DAEMON, REGION,
				new ServicePlan(SERVICE, plannedServers(), SERVERS / 2, List.of(new ServicePlan.Domain(DOMAIN, 200))));
		Random random = new Random(1);
		long now = 0;
		for (int index = 0; index < observations; index++) {
			now += 3;
			long duration = 10 + random.nextInt(30);
			monitor.handle(now, new HealthInput.RequestObserved(new Observation(SERVICE, server(index % SERVERS).id(),
					WorkClass.SHORT, DAEMON, Observation.Result.SUCCEEDED, duration), 0));
			if (monitor.nextTick() <= now) {
				monitor.tick(now);
			}
		}
		return monitor;
	}

	private static List<ServicePlan.Server> plannedServers() {
		List<ServicePlan.Server> servers = new ArrayList<>();
		for (int index = 0; index < SERVERS; index++) {
			servers.add(new ServicePlan.Server(server(index).id(), REGION, SLOTS));
		}
		return servers;
	}

	private static Service service() {
		List<BackendServer> servers = new ArrayList<>();
		for (int index = 0; index < SERVERS; index++) {
			servers.add(server(index));
		}
		return new Service(SERVICE, servers, SERVERS / 2, 0.5, 0, Service.DEFAULT_KEY_LIFETIME_MS);
	}

	private static BackendServer server(int index) {
		return new BackendServer(new BackendServerId("service-0042-" + index),
				new HostAddress("10.1.2.3", 8000 + index), DOMAIN, SLOTS, 330);
	}

	private static long usedHeap() {
		for (int count = 0; count < 3; count++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
