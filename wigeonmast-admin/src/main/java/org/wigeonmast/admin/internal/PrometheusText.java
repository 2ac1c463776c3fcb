package org.wigeonmast.admin.internal;

import java.util.Map;
import java.util.Objects;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats metrics in the Prometheus text exposition format.
 * <p>
 * Thread safety: stateless. Invariant: gauges whose value is not a finite number are
 * omitted.
 */
final class PrometheusText {

	/** Media type of the text exposition format. */
	static final String MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final String PREFIX = "wigeonmast_";

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private PrometheusText() {
	}

	static String format(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Metric> entry : registry.getMetrics().entrySet()) {
			String name = PREFIX + entry.getKey().replaceAll("[^A-Za-z0-9_]", "_");
			switch (entry.getValue()) {
				case Counter counter -> writeValue(text, name, "gauge", counter.getCount());
				case Meter meter -> writeValue(text, name + "_total", "counter", meter.getCount());
				case Timer timer -> writeSummary(text, name + "_seconds", timer.getSnapshot(), timer.getCount(),
						NANOSECONDS_PER_SECOND);
				case Histogram histogram -> writeSummary(text, name, histogram.getSnapshot(), histogram.getCount(), 1);
				case Gauge<?> gauge -> writeGauge(text, name, gauge);
				default -> {
				}
			}
		}
		return text.toString();
	}

	private static void writeGauge(StringBuilder text, String name, Gauge<?> gauge) {
		Object value = gauge.getValue();
		if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
			writeValue(text, name, "gauge", number);
		}
	}

	private static void writeValue(StringBuilder text, String name, String type, Number value) {
		text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
		text.append(name).append(' ').append(Objects.toString(value)).append('\n');
	}

	private static void writeSummary(StringBuilder text, String name, Snapshot snapshot, long count, double divisor) {
		text.append("# TYPE ").append(name).append(" summary\n");
		writeQuantile(text, name, "0.5", snapshot.getMedian() / divisor);
		writeQuantile(text, name, "0.95", snapshot.get95thPercentile() / divisor);
		writeQuantile(text, name, "0.99", snapshot.get99thPercentile() / divisor);
		writeQuantile(text, name, "0.999", snapshot.get999thPercentile() / divisor);
		text.append(name).append("_count ").append(count).append('\n');
	}

	private static void writeQuantile(StringBuilder text, String name, String quantile, double value) {
		text.append(name).append("{quantile=\"").append(quantile).append("\"} ").append(value).append('\n');
	}

}
