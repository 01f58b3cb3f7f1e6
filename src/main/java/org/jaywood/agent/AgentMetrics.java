package org.jaywood.agent;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;

import org.jaywood.wire.RefusalReason;

/**
 * Counters of an agent.
 */
final class AgentMetrics {

	private static final String PREFIX = "agent.";

	private final MetricRegistry registry;

	AgentMetrics(MetricRegistry registry, Admission admission) {
		this.registry = registry;
		registry.register(PREFIX + "bytesHeld", (Gauge<Long>) () -> admission.load().heldBytes());
		registry.register(PREFIX + "inFlight", (Gauge<Integer>) admission::inFlight);
	}

	void admitted() {
		this.registry.counter(PREFIX + "admissions").inc();
	}

	void refused(RefusalReason reason) {
		this.registry.counter(PREFIX + "refusals." + reason).inc();
	}

	void fenced() {
		this.registry.counter(PREFIX + "fences").inc();
	}

	void cancelled() {
		this.registry.counter(PREFIX + "cancels").inc();
	}

	void suspended() {
		this.registry.counter(PREFIX + "suspensions").inc();
	}

	void resumed() {
		this.registry.counter(PREFIX + "resumes").inc();
	}

	void broken() {
		this.registry.counter(PREFIX + "broken").inc();
	}

	/**
	 * All values by name.
	 */
	Map<String, Object> values() {
		Map<String, Object> values = new TreeMap<>();
		this.registry.getCounters(MetricFilter.startsWith(PREFIX))
			.forEach((name, counter) -> values.put(name.substring(PREFIX.length()), counter.getCount()));
		this.registry.getGauges(MetricFilter.startsWith(PREFIX))
			.forEach((name, gauge) -> values.put(name.substring(PREFIX.length()), gauge.getValue()));
		return values;
	}

}
