package org.jaywood.router;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;

import org.jaywood.wire.CallOutcome;

/**
 * Metrics of a router, as shown in its state dump.
 */
final class RouterMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	private final Meter retries = this.registry.meter("retries");

	private final Meter fences = this.registry.meter("fences");

	private final Meter resumes = this.registry.meter("resumes");

	private final Meter waits = this.registry.meter("waits");

	private final LongAdder droppedFrames = new LongAdder();

	private final Histogram firstTokenMillis = this.registry.register("firstTokenMillis",
			new Histogram(new SlidingTimeWindowArrayReservoir(1, TimeUnit.MINUTES)));

	Meter retries() {
		return this.retries;
	}

	Meter fences() {
		return this.fences;
	}

	Meter resumes() {
		return this.resumes;
	}

	Meter waits() {
		return this.waits;
	}

	LongAdder droppedFrames() {
		return this.droppedFrames;
	}

	void recordOutcome(CallOutcome outcome) {
		this.registry.counter("calls." + outcome.headerValue()).inc();
	}

	void recordRefusal(String reason) {
		this.registry.counter("refused." + reason).inc();
	}

	void recordAbortedCall() {
		this.registry.counter("calls.aborted").inc();
	}

	void recordFirstToken(long millis) {
		this.firstTokenMillis.update(millis);
	}

	long firstTokenCount() {
		return this.firstTokenMillis.getCount();
	}

	Map<String, Object> state() {
		Map<String, Object> state = new TreeMap<>();
		this.registry.getCounters().forEach((name, counter) -> state.put(name, counter.getCount()));
		this.registry.getMeters().forEach((name, meter) -> state.put(name, meter.getCount()));
		state.put("droppedFrames", this.droppedFrames.sum());
		state.put("firstTokenMillisP99", this.firstTokenMillis.getSnapshot().get99thPercentile());
		return state;
	}

}
