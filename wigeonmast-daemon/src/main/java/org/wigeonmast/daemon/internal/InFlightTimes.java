package org.wigeonmast.daemon.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.DispatchMessage.HeldSlot;
import org.wigeonmast.health.HealthInput.RunningRequest;

/**
 * Times for which the attempts reported by daemons have been in flight.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a time is measured from the
 * first report that contains the attempt, so it never exceeds the actual duration of the
 * attempt.
 */
final class InFlightTimes {

	private final Map<DaemonId, Map<Long, Long>> firstSeen = new HashMap<>();

	/**
	 * Applies a report, which replaces the previous one of the same daemon.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon
	 * @param held the attempts in flight at that daemon
	 * @return the attempts with the times in milliseconds since they were first reported
	 */
	List<RunningRequest> update(long now, DaemonId sender, List<HeldSlot> held) {
		Map<Long, Long> previous = this.firstSeen.getOrDefault(sender, Map.of());
		Map<Long, Long> current = new HashMap<>();
		List<RunningRequest> running = new ArrayList<>();
		for (HeldSlot slot : held) {
			long since = previous.getOrDefault(slot.ticket(), now);
			current.put(slot.ticket(), since);
			running.add(new RunningRequest(slot.server(), slot.workClass(), now - since));
		}
		if (current.isEmpty()) {
			this.firstSeen.remove(sender);
		}
		else {
			this.firstSeen.put(sender, current);
		}
		return running;
	}

}
