package org.wigeonmast.dispatch.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage.TenureReply;
import org.wigeonmast.dispatch.DispatchMessage.TenureRequest;

/**
 * The promises that this daemon gives to daemons that request tenure.
 * <p>
 * Thread safety: none. Invariants: at any time at most one daemon holds the promise for a
 * service; no promise is given for one lease after a start, because promises from before
 * the start are not known, nor for one lease after a pause.
 */
public final class TenureVoter {

	private static final int MAX_HOLDERS = 16;

	private final Map<ServiceName, Promises> services = new HashMap<>();

	private final long startedAtMs;

	private long suspendedUntilMs;

	/**
	 * Creates the voter of a daemon that has just started.
	 * @param now the current monotonic time in milliseconds
	 */
	public TenureVoter(long now) {
		this.startedAtMs = now;
		this.suspendedUntilMs = now + Tenure.LEASE_MS;
	}

	/**
	 * Suspends promises for one lease after the process was paused.
	 * @param now the current monotonic time in milliseconds
	 */
	public void onPaused(long now) {
		this.suspendedUntilMs = now + Tenure.LEASE_MS;
	}

	/**
	 * Decides on a request for tenure.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that requests tenure
	 * @param request the request
	 * @return the reply
	 */
	public TenureReply handleRequest(long now, DaemonId sender, TenureRequest request) {
		Promises promises = this.services.computeIfAbsent(request.service(),
				(service) -> new Promises(this.startedAtMs + Tenure.LEASE_MS));
		long othersUntilMs = promises.unknownUntilMs;
		for (Map.Entry<DaemonId, Long> entry : promises.endsMs.entrySet()) {
			if (!entry.getKey().equals(sender) && !Objects.equals(entry.getKey(), request.predecessor())) {
				othersUntilMs = Math.max(othersUntilMs, entry.getValue());
			}
		}
		boolean noOtherInForce = promises.endsMs.entrySet()
			.stream()
			.allMatch((entry) -> entry.getKey().equals(sender) || entry.getValue() <= now);
		boolean promised = noOtherInForce && now >= this.suspendedUntilMs;
		if (promised) {
			promises.promise(sender, now + Tenure.LEASE_MS);
		}
		return new TenureReply(request.service(), request.round(), promised, Math.max(0, now - othersUntilMs));
	}

	/**
	 * Ends a promise before its lease ends.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that releases it
	 * @param service the service
	 */
	public void handleRelease(long now, DaemonId sender, ServiceName service) {
		Promises promises = this.services.get(service);
		if (promises != null) {
			promises.endsMs.computeIfPresent(sender, (daemon, endMs) -> Math.min(endMs, now));
		}
	}

	/** The promises for one service. */
	private static final class Promises {

		private final Map<DaemonId, Long> endsMs = new HashMap<>();

		private long unknownUntilMs;

		// Promises that this daemon gave before it started may have lasted until one
		// lease after the start.
		private Promises(long unknownUntilMs) {
			this.unknownUntilMs = unknownUntilMs;
		}

		private void promise(DaemonId holder, long endMs) {
			this.endsMs.put(holder, endMs);
			if (this.endsMs.size() > MAX_HOLDERS) {
				Map.Entry<DaemonId, Long> oldest = null;
				for (Map.Entry<DaemonId, Long> entry : this.endsMs.entrySet()) {
					if (oldest == null || entry.getValue() < oldest.getValue()) {
						oldest = entry;
					}
				}
				this.unknownUntilMs = Math.max(this.unknownUntilMs, oldest.getValue());
				this.endsMs.remove(oldest.getKey());
			}
		}

	}

}
