package org.wigeonmast.dispatch.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.Step;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.DispatchEvent;

/**
 * Rate-limited recorder of refusals in the audit trail and the log. It records each
 * service and reason at most once a second, because under overload thousands of requests
 * are refused a second.
 * <p>
 * Thread safety: none. Invariant: the counts of all records add up to the number of
 * refusals, except for the refusals after the last record.
 */
public final class RefusalRecorder {

	private static final long RECORD_INTERVAL_MS = 1000;

	private final DaemonId self;

	private final Map<Subject, Count> counts = new HashMap<>();

	/**
	 * Creates a recorder without records.
	 * @param self this daemon
	 */
	public RefusalRecorder(DaemonId self) {
		this.self = self;
	}

	/**
	 * Counts a refusal and writes a record unless the last one was written less than a
	 * second ago.
	 * @param now the current monotonic time in milliseconds
	 * @param service the service
	 * @param step the step at which the request was refused
	 * @param reason the reason
	 * @param effects receives the record
	 */
	public void recordRefusal(long now, ServiceName service, Step step, String reason, EffectBuffer effects) {
		Count count = this.counts.computeIfAbsent(new Subject(service, reason),
				(subject) -> new Count(now - RECORD_INTERVAL_MS));
		count.pending++;
		if (now - count.recordedAtMs < RECORD_INTERVAL_MS) {
			return;
		}
		Map<String, String> evidence = new TreeMap<>();
		evidence.put("reason", reason);
		evidence.put("requests", Long.toString(count.pending));
		effects.add(new DispatchEffect.Audit(
				new AuditEntry(now, AuditKind.REFUSED, service.value(), step, this.self.toString(), evidence)));
		effects.log(DispatchEvent.REQUESTS_REFUSED, count.pending, service, reason);
		count.pending = 0;
		count.recordedAtMs = now;
	}

	private record Subject(ServiceName service, String reason) {
	}

	private static final class Count {

		private long recordedAtMs;

		private long pending;

		private Count(long recordedAtMs) {
			this.recordedAtMs = recordedAtMs;
		}

	}

}
