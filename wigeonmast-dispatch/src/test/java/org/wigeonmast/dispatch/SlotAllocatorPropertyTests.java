package org.wigeonmast.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.dispatch.DispatchMessage.AttemptOutcome;
import org.wigeonmast.dispatch.DispatchMessage.SlotGrant;
import org.wigeonmast.dispatch.DispatchMessage.SlotRelease;
import org.wigeonmast.dispatch.DispatchMessage.SlotRequest;
import org.wigeonmast.dispatch.internal.ServerSlots;
import org.wigeonmast.manifest.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * Property tests of slot allocation.
 */
class SlotAllocatorPropertyTests {

	private static final int SLOTS = 2;

	private static final int SERVERS = 4;

	private final Map<Long, BackendServerId> heldSlots = new LinkedHashMap<>();

	private final Map<Long, String> callersByTicket = new HashMap<>();

	private final Map<String, Integer> grantsByCaller = new HashMap<>();

	private SlotAllocator allocator = allocator();

	private long lastTicket;

	/**
	 * Guards against a server with more grants than its slots and the one grant ahead,
	 * under repeated and lost messages, and against slots that are never freed.
	 */
	@Property(tries = 200, seed = "500")
	void grantsStayWithinSlots(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Random random = new Random(seed);
		long now = 0;
		for (int i = 0; i < 500; i++) {
			now += random.nextInt(10);
			if (random.nextInt(3) > 0) {
				WorkClass workClass = (random.nextInt(5) == 0) ? WorkClass.LONG : WorkClass.SHORT;
				// One in five requests arrives again under the same ticket.
				request(now, (random.nextInt(5) == 0) ? this.lastTicket : ++this.lastTicket, workClass, "caller");
			}
			else if (!this.heldSlots.isEmpty()) {
				release(now, random);
			}
			recordGrants(this.allocator.tick(now));
			for (int server = 0; server < SERVERS; server++) {
				BackendServerId id = DispatchFixtures.serverId(DispatchFixtures.ADDIS, server);
				long grants = this.heldSlots.values().stream().filter(id::equals).count();
				assertThat(grants).isAtMost(SLOTS + ServerSlots.MAX_GRANTS_AHEAD);
			}
		}
		this.heldSlots.clear();
		recordGrants(this.allocator.tick(now + 20_000));
		recordGrants(this.allocator.tick(now + 40_000));
		assertThat(this.allocator.isIdle()).isTrue();
	}

	/** Guards against long work that never gets a slot while short work queues. */
	@Test
	void longWorkIsNotStarved() {
		Random random = new Random(1);
		for (int now = 0; now < 4000; now++) {
			request(now, ++this.lastTicket, WorkClass.SHORT, "short");
			if (now % 400 == 0) {
				request(now, ++this.lastTicket, WorkClass.LONG, "long");
			}
			release(now, random);
			recordGrants(this.allocator.tick(now));
		}
		assertThat(this.grantsByCaller.get("long")).isAtLeast(9);
	}

	/** Guards against a caller that is starved by the backlog of another caller. */
	@Test
	void callersAreServedInTurn() {
		Random random = new Random(1);
		for (int now = 0; now < 4000; now++) {
			request(now, ++this.lastTicket, WorkClass.SHORT, "heavy");
			if (now % 20 == 0) {
				request(now, ++this.lastTicket, WorkClass.SHORT, "light");
			}
			if (now % 5 == 0) {
				release(now, random);
			}
			recordGrants(this.allocator.tick(now));
		}
		// The light caller requests 200 of the 800 slots that become free.
		assertThat(this.grantsByCaller.get("light")).isAtLeast(195);
		assertThat(this.grantsByCaller.get("heavy")).isAtLeast(550);
	}

	private static SlotAllocator allocator() {
		return new SlotAllocator(0, DispatchFixtures.service(SERVERS, SLOTS, DispatchFixtures.ADDIS),
				DispatchFixtures.ADDIS, QueueOrder.FIRST_IN_FIRST_OUT);
	}

	private void request(long now, long number, WorkClass workClass, String caller) {
		this.callersByTicket.put(number, caller);
		handle(now, new SlotRequest(number, DispatchFixtures.BOARD, workClass, new CallerId(caller), 1000, true, false,
				List.of()));
	}

	private void release(long now, Random random) {
		if (this.heldSlots.isEmpty()) {
			return;
		}
		Long number = List.copyOf(this.heldSlots.keySet()).get(random.nextInt(this.heldSlots.size()));
		BackendServerId server = this.heldSlots.remove(number);
		handle(now, new SlotRelease(DispatchFixtures.BOARD, number,
				new AttemptOutcome(server, WorkClass.SHORT, AttemptResult.SUCCEEDED, 20)));
	}

	private void handle(long now, DispatchMessage message) {
		recordGrants(this.allocator.handle(now, new AllocatorInput.Received(DispatchFixtures.daemon(1), message)));
	}

	private void recordGrants(List<DispatchEffect> effects) {
		for (DispatchEffect effect : effects) {
			if (effect instanceof DispatchEffect.Send send && send.message() instanceof SlotGrant grant
					&& this.heldSlots.put(grant.ticket(), grant.server()) == null) {
				this.grantsByCaller.merge(this.callersByTicket.getOrDefault(grant.ticket(), "none"), 1, Integer::sum);
			}
		}
	}

}
