package org.jaywood.gateway;

import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;

import org.jaywood.routing.AttemptActivity;
import org.jaywood.routing.Placement;
import org.jaywood.wire.MemoryBudget;
import org.jaywood.wire.MemoryUse;

/**
 * Counters and latency histograms of a gateway. {@code docs/OPERATIONS.md} describes
 * them.
 */
final class GatewayMetrics {

	/** Workspaces with a counter of their own; the calls of the others are added up. */
	private static final int MAX_WORKSPACES = 64;

	private static final int MAX_PRIORITY = 9;

	private final MetricRegistry registry = new MetricRegistry();

	private final Set<String> workspaces = ConcurrentHashMap.newKeySet();

	private final Histogram firstByteMillis = histogram("call.first_byte_millis");

	private final Histogram answerMillis = histogram("call.answer_millis");

	private final Histogram waitMillis = histogram("call.wait_millis");

	private final Histogram firstEventMillis = histogram("attempt.first_event_millis");

	private final Histogram expectedFirstEventMillis = histogram("attempt.first_event_expected_millis");

	MetricRegistry registry() {
		return this.registry;
	}

	Counter counter(String name) {
		return this.registry.counter(name);
	}

	void recordFirstByte(long millis) {
		this.firstByteMillis.update(millis);
	}

	/**
	 * Records the expected and the actual time from the request to the first event of an
	 * attempt at an engine.
	 */
	void recordFirstEvent(AttemptActivity attempt) {
		if (attempt.expectedFirstMillis() >= 0) {
			this.firstEventMillis.update(attempt.firstDelayMillis());
			this.expectedFirstEventMillis.update(attempt.expectedFirstMillis());
		}
	}

	/**
	 * Counts a call that is sent to another data centre, and the bytes of its request.
	 */
	void recordSpillover(Placement placement, String ownDataCentre, int requestBytes) {
		if (!placement.upstream().dataCentre().equals(ownDataCentre)) {
			String reason = placement.spillover().name().toLowerCase(Locale.ROOT);
			counter("call.sent_away_" + reason).inc();
			counter("call.sent_away_" + reason + "_bytes").inc(requestBytes);
		}
	}

	void recordAnswer(long millis) {
		this.answerMillis.update(millis);
	}

	void recordWait(long millis) {
		this.waitMillis.update(millis);
	}

	/**
	 * Registers a gauge of the era of the store.
	 */
	void registerStoreEra(LongSupplier era) {
		this.registry.gauge("store.era", () -> era::getAsLong);
	}

	/**
	 * Counts a placement for its workspace and priority.
	 */
	void recordPlaced(String workspace, int priority) {
		boolean named = this.workspaces.contains(workspace)
				|| (this.workspaces.size() < MAX_WORKSPACES && this.workspaces.add(workspace));
		counter("workspace.placed." + (named ? workspace : "others")).inc();
		counter("call.placed.priority_" + Math.clamp(priority, 0, MAX_PRIORITY)).inc();
	}

	/**
	 * Registers gauges of the heap and of what the memory budget holds and has refused.
	 */
	void registerMemory(MemoryBudget memory) {
		this.registry.registerAll("jvm.memory", new MemoryUsageGaugeSet());
		this.registry.gauge("memory.limit_bytes", () -> () -> memory.limits().maxBytes());
		for (MemoryUse use : MemoryUse.values()) {
			String name = "memory." + use.name().toLowerCase(Locale.ROOT);
			this.registry.gauge(name + ".bytes", () -> () -> memory.reservedBytes(use));
			this.registry.gauge(name + ".refusals", () -> () -> memory.refusals(use));
			this.registry.gauge(name + ".evictions", () -> () -> memory.evictions(use));
		}
	}

	private Histogram histogram(String name) {
		return this.registry.register(name, new Histogram(new SlidingTimeWindowArrayReservoir(1, TimeUnit.MINUTES)));
	}

}
