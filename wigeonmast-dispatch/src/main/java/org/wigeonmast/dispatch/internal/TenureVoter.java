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

	private static final int MOST_HOLDERS = 16;

	private final Map<ServiceName, Promises> services = new HashMap<>();

	private final long startedAt;

	private long silentUntil;

	/**
	 * Creates the voter of a daemon that has just started.
	 * @param now the current monotonic time in milliseconds
	 */
	public TenureVoter(long now) {
		this.startedAt = now;
		this.silentUntil = now + Tenure.LEASE;
	}

	/**
	 * Suspends promises for one lease after the process was paused.
	 * @param now the current monotonic time in milliseconds
	 */
	public void paused(long now) {
		this.silentUntil = now + Tenure.LEASE;
	}

	/**
	 * Decides on a request for tenure.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that requests tenure
	 * @param request the request
	 * @return the reply
	 */
	public TenureReply requested(long now, DaemonId sender, TenureRequest request) {
		Promises promises = this.services.computeIfAbsent(request.service(),
				(service) -> new Promises(this.startedAt + Tenure.LEASE));
		long others = promises.forgottenUntil;
		for (Map.Entry<DaemonId, Long> entry : promises.until.entrySet()) {
			if (!entry.getKey().equals(sender) && !Objects.equals(entry.getKey(), request.predecessor())) {
				others = Math.max(others, entry.getValue());
			}
		}
		boolean free = promises.until.entrySet()
			.stream()
			.allMatch((entry) -> entry.getKey().equals(sender) || entry.getValue() <= now);
		boolean promised = free && now >= this.silentUntil;
		if (promised) {
			promises.promise(sender, now + Tenure.LEASE);
		}
		return new TenureReply(request.service(), request.round(), promised, Math.max(0, now - others));
	}

	/**
	 * Ends a promise before its lease ends.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that releases it
	 * @param service the service
	 */
	public void released(long now, DaemonId sender, ServiceName service) {
		Promises promises = this.services.get(service);
		if (promises != null) {
			promises.until.computeIfPresent(sender, (daemon, until) -> Math.min(until, now));
		}
	}

	/** The promises for one service. */
	private static final class Promises {

		private final Map<DaemonId, Long> until = new HashMap<>();

		private long forgottenUntil;

		// Promises that this daemon gave before it started may have lasted until one
		// lease
		// after the start.
		private Promises(long forgottenUntil) {
			this.forgottenUntil = forgottenUntil;
		}

		private void promise(DaemonId holder, long end) {
			this.until.put(holder, end);
			if (this.until.size() > MOST_HOLDERS) {
				Map.Entry<DaemonId, Long> oldest = null;
				for (Map.Entry<DaemonId, Long> entry : this.until.entrySet()) {
					if (oldest == null || entry.getValue() < oldest.getValue()) {
						oldest = entry;
					}
				}
				this.forgottenUntil = Math.max(this.forgottenUntil, oldest.getValue());
				this.until.remove(oldest.getKey());
			}
		}

	}

}
