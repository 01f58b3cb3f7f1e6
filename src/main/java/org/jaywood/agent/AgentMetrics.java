package org.jaywood.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.jaywood.wire.RefusalReason;

/**
 * Counters and gauges of an agent.
 */
final class AgentMetrics {

	private final MetricRegistry registry;

	AgentMetrics(AdmissionController admission, MetricRegistry registry) {
		this.registry = registry;
		this.registry.register("bytesHeld", (Gauge<Long>) () -> admission.load().heldBytes());
		this.registry.register("inFlight", (Gauge<Integer>) admission::inFlight);
	}

	void countAdmission() {
		this.registry.counter("admissions").inc();
	}

	void countRefusal(RefusalReason reason) {
		this.registry.counter("refusals." + reason).inc();
	}

	void countFenceRequest() {
		this.registry.counter("fences").inc();
	}

	void countCancellation() {
		this.registry.counter("cancels").inc();
	}

	void countSuspension() {
		this.registry.counter("suspensions").inc();
	}

	void countResumption() {
		this.registry.counter("resumes").inc();
	}

	/**
	 * Counts an admitted call that ended with an I/O failure, such as a broken connection
	 * to the upstream or the router.
	 */
	void countCallFailedByIo() {
		this.registry.counter("broken").inc();
	}

}
