package org.jaywood.gateway;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;

/**
 * Counters and latency histograms of a gateway. {@code docs/OPERATIONS.md} describes
 * them.
 */
final class GatewayMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	private final Histogram firstByteMillis = histogram("call.first_byte_millis");

	private final Histogram answerMillis = histogram("call.answer_millis");

	private final Histogram waitMillis = histogram("call.wait_millis");

	MetricRegistry registry() {
		return this.registry;
	}

	Counter counter(String name) {
		return this.registry.counter(name);
	}

	void recordFirstByte(long millis) {
		this.firstByteMillis.update(millis);
	}

	void recordAnswer(long millis) {
		this.answerMillis.update(millis);
	}

	void recordWait(long millis) {
		this.waitMillis.update(millis);
	}

	private Histogram histogram(String name) {
		return this.registry.register(name, new Histogram(new SlidingTimeWindowArrayReservoir(1, TimeUnit.MINUTES)));
	}

}
