package org.wigeonmast.health.internal;

import java.util.LinkedHashMap;
import java.util.Map;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Step;
import org.wigeonmast.health.HealthEffect;
import org.wigeonmast.health.HealthEvent;

/**
 * Factory of the audit entries of this module.
 * <p>
 * Thread safety: immutable.
 */
public final class AuditEntries {

	private final DaemonId self;

	/**
	 * Creates a factory.
	 * @param self the daemon that makes the decisions
	 */
	public AuditEntries(DaemonId self) {
		this.self = self;
	}

	/**
	 * Creates an entry about a backend server.
	 * @param now the current monotonic time in milliseconds
	 * @param event the log event
	 * @param kind the kind of decision
	 * @param server the server
	 * @param evidence the evidence as named values
	 * @return the effect that records it
	 */
	public HealthEffect.RecordAudit entry(long now, HealthEvent event, AuditKind kind, BackendServerId server,
			Map<String, String> evidence) {
		return new HealthEffect.RecordAudit(event,
				new AuditEntry(now, kind, server.value(), Step.HEALTH, this.self.toString(), evidence));
	}

	/**
	 * Returns named values in the given order.
	 * @param pairs alternating names and values
	 * @return a mutable map in the order of the pairs
	 */
	public static Map<String, String> values(Object... pairs) {
		Map<String, String> values = new LinkedHashMap<>();
		for (int index = 0; index < pairs.length; index += 2) {
			values.put(pairs[index].toString(), pairs[index + 1].toString());
		}
		return values;
	}

}
