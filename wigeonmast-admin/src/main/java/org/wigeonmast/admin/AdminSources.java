package org.wigeonmast.admin;

import com.codahale.metrics.MetricRegistry;

/**
 * Where the operators' interface gets its answers.
 * <p>
 * Thread safety: immutable.
 *
 * @param readiness tells whether the daemon is ready
 * @param status tells the state of the daemon
 * @param explanation explains the state of backend servers
 * @param audit gives out audit entries
 * @param metrics the metrics of the daemon
 */
public record AdminSources(ReadinessSource readiness, StatusSource status, ExplanationSource explanation,
		AuditSource audit, MetricRegistry metrics) {
}
