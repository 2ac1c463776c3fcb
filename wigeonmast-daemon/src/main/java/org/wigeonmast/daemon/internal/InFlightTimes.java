package org.wigeonmast.daemon.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.DispatchMessage.HeldSlot;
import org.wigeonmast.health.HealthInput.RunningRequest;

/**
 * Measures how long the attempts that daemons report have been in flight.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a time is counted from the
 * first report that names an attempt, so it is never longer than the attempt really runs.
 */
final class InFlightTimes {

	private final Map<DaemonId, Map<Long, Long>> firstSeen = new HashMap<>();

	/**
	 * Takes a report, which replaces the daemon's earlier one.
	 * @param now the monotonic time in milliseconds
	 * @param sender the daemon
	 * @param held its attempts in flight
	 * @return the attempts with the times for which they have been seen
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
