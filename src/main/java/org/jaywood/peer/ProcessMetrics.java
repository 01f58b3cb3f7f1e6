package org.jaywood.peer;

import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.sun.management.OperatingSystemMXBean;

/**
 * Creates the metrics of a process and their JSON form for the operator port.
 */
final class ProcessMetrics {

	private ProcessMetrics() {
	}

	/**
	 * Creates a registry with gauges of the memory and processor time of this process.
	 */
	static MetricRegistry create() {
		MetricRegistry metrics = new MetricRegistry();
		metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
		if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system) {
			metrics.register("process.cpu.millis", (Gauge<Long>) () -> system.getProcessCpuTime() / 1_000_000);
		}
		metrics.register("process.uptime.millis", (Gauge<Long>) () -> ManagementFactory.getRuntimeMXBean().getUptime());
		return metrics;
	}

	/**
	 * Returns the values by name.
	 */
	static Map<String, Object> report(MetricRegistry metrics) {
		Map<String, Object> report = new TreeMap<>();
		metrics.getGauges().forEach((name, gauge) -> {
			Object value = gauge.getValue();
			if (value != null) {
				report.put(name, value);
			}
		});
		metrics.getCounters().forEach((name, counter) -> report.put(name, counter.getCount()));
		metrics.getMeters()
			.forEach((name, meter) -> report.put(name,
					Map.of("count", meter.getCount(), "oneMinuteRate", meter.getOneMinuteRate())));
		metrics.getHistograms()
			.forEach((name, histogram) -> report.put(name,
					distribution(histogram.getCount(), histogram.getSnapshot(), 1)));
		// Timers record nanoseconds.
		metrics.getTimers()
			.forEach((name, timer) -> report.put(name, distribution(timer.getCount(), timer.getSnapshot(), 1e-6)));
		return report;
	}

	private static Map<String, Object> distribution(long count, Snapshot snapshot, double unit) {
		return Map.of("count", count, "p50", snapshot.getMedian() * unit, "p99", snapshot.get99thPercentile() * unit,
				"max", snapshot.getMax() * unit);
	}

}
