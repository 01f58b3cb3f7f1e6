package org.jaywood.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.Handover;
import org.jaywood.leader.LeaderTask;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.wire.Json;

/**
 * Leader task that decides the number of engines once a second and orders it. The numbers
 * ordered last are its state, so that the next leader neither repeats orders that are
 * under way nor removes engines that it knows no demand for yet.
 */
public final class ScalingTask implements LeaderTask {

	/** Name of the singleton in the settings. */
	public static final String NAME = "autoscale";

	/** Interval of decisions; gateways report once a second. */
	private static final long DECISION_INTERVAL_MILLIS = 1_000;

	/** Response to a call beyond the rate; the call is made again at the next tick. */
	private static final CloudResponse RATE_EXCEEDED = new CloudResponse.Refused(429);

	private final LongFunction<ScalingInput> input;

	private final ScalingApi api;

	private final LongSupplier bootMillis;

	private final EventLog log;

	private EngineCountPlanner planner = new EngineCountPlanner(Map.of());

	private final Deque<ScaleOrder> pending = new ArrayDeque<>();

	private long decidedMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates the task.
	 * @param input returns the input of a decision at a boot time
	 * @param bootMillis returns the boot time, read again after a call to the platform
	 * because the call takes time
	 */
	public ScalingTask(LongFunction<ScalingInput> input, ScalingApi api, LongSupplier bootMillis, EventLog log) {
		this.input = input;
		this.api = api;
		this.bootMillis = bootMillis;
		this.log = log;
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public synchronized void onElected(Handover handover, long nowMillis) {
		this.planner = new EngineCountPlanner(ordered(handover.state()));
		this.pending.clear();
		this.decidedMillis = Long.MIN_VALUE / 2;
	}

	@Override
	public void onTick(LeaderTerm term, long nowMillis) {
		ScaleOrder order = nextOrder(nowMillis);
		if (order != null) {
			// Not under the lock: a renewal reads the state while the call waits.
			CloudResponse response = this.api.order(term, order.service(), order.dataCentre(), order.engines());
			onResponse(order, response, this.bootMillis.getAsLong());
		}
	}

	/**
	 * Returns the order to send now, or null if there is none. One order is sent in each
	 * tick, so that the rate of the platform is shared with other singletons.
	 */
	private synchronized @Nullable ScaleOrder nextOrder(long nowMillis) {
		if (nowMillis - this.decidedMillis >= DECISION_INTERVAL_MILLIS) {
			this.decidedMillis = nowMillis;
			this.pending.clear();
			this.pending.addAll(this.planner.plan(this.input.apply(nowMillis), nowMillis));
		}
		return this.pending.poll();
	}

	private synchronized void onResponse(ScaleOrder order, CloudResponse response, long nowMillis) {
		if (response.equals(RATE_EXCEEDED)) {
			this.pending.addFirst(order);
			return;
		}
		this.planner.onResult(order, response instanceof CloudResponse.Accepted, nowMillis);
		this.log.log(Event.ENGINES_ORDERED, "engines", order.engines(), "service", order.service(), "dataCentre",
				order.dataCentre(), "response", response);
	}

	@Override
	public synchronized JsonNode state(long nowMillis) {
		return Json.mapper().valueToTree(this.planner.ordered());
	}

	@Override
	public synchronized Map<String, Object> describe(long nowMillis) {
		return Map.of("wanted", this.planner.wanted(), "ordered", this.planner.ordered());
	}

	private static Map<String, Map<String, Integer>> ordered(@Nullable JsonNode state) {
		Map<String, Map<String, Integer>> ordered = new HashMap<>();
		if (state != null) {
			state.properties().forEach((service) -> {
				Map<String, Integer> counts = new HashMap<>();
				service.getValue()
					.properties()
					.forEach((count) -> counts.put(count.getKey(), count.getValue().asInt()));
				ordered.put(service.getKey(), counts);
			});
		}
		return ordered;
	}

}
