package org.jaywood.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.jaywood.wire.RefusalReason;

/**
 * Counters of an agent.
 */
final class AgentMetrics {

	private final MetricRegistry registry;

	AgentMetrics(AdmissionController admission, MetricRegistry registry) {
		this.registry = registry;
		this.registry.register("bytesHeld", (Gauge<Long>) () -> admission.load().heldBytes());
		this.registry.register("inFlight", (Gauge<Integer>) admission::inFlight);
	}

	void admitted() {
		this.registry.counter("admissions").inc();
	}

	void refused(RefusalReason reason) {
		this.registry.counter("refusals." + reason).inc();
	}

	void fenced() {
		this.registry.counter("fences").inc();
	}

	void cancelled() {
		this.registry.counter("cancels").inc();
	}

	void suspended() {
		this.registry.counter("suspensions").inc();
	}

	void resumed() {
		this.registry.counter("resumes").inc();
	}

	void broken() {
		this.registry.counter("broken").inc();
	}

}
