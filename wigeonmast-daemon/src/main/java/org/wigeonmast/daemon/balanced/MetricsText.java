package org.wigeonmast.daemon.balanced;

import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats metrics as text, one line per value.
 * <p>
 * Thread safety: stateless.
 */
final class MetricsText {

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	private MetricsText() {
	}

	/**
	 * Formats all metrics; times and durations are in milliseconds.
	 * @param registry the metrics
	 * @return the text, one line per value
	 */
	static String format(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
			appendMetric(text, entry.getKey(), entry.getValue().getCount());
		}
		for (Map.Entry<String, Meter> entry : registry.getMeters().entrySet()) {
			appendMetric(text, entry.getKey(), entry.getValue().getCount());
		}
		for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
			appendMetric(text, entry.getKey() + ".count", entry.getValue().getCount());
			appendQuantiles(text, entry.getKey(), entry.getValue().getSnapshot(), 1);
		}
		for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
			appendMetric(text, entry.getKey() + ".count", entry.getValue().getCount());
			appendQuantiles(text, entry.getKey(), entry.getValue().getSnapshot(), NANOSECONDS_PER_MILLISECOND);
		}
		return text.toString();
	}

	private static void appendQuantiles(StringBuilder text, String name, Snapshot snapshot, double unit) {
		appendMetric(text, name + ".p50_ms", snapshot.getMedian() / unit);
		appendMetric(text, name + ".p99_ms", snapshot.get99thPercentile() / unit);
		appendMetric(text, name + ".max_ms", snapshot.getMax() / unit);
	}

	private static void appendMetric(StringBuilder text, String name, double value) {
		String metricName = name.replace('.', '_').replace('-', '_');
		text.append(metricName).append(' ').append(String.format(Locale.ROOT, "%.3f", value)).append('\n');
	}

}
