package org.wigeonmast.admin;

import com.codahale.metrics.MetricRegistry;

/**
 * The sources of the data that the admin interface serves.
 * <p>
 * Thread safety: immutable.
 *
 * @param readiness the source of the daemon's readiness
 * @param status the source of the daemon's status
 * @param explanation the source of explanations of backend servers
 * @param audit the source of audit entries
 * @param metrics the metrics of the daemon
 */
public record AdminSources(ReadinessSource readiness, StatusSource status, ExplanationSource explanation,
		AuditSource audit, MetricRegistry metrics) {
}
