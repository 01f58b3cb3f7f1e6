package org.jaywood.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.Handover;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.routing.ServiceProfile;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against orders that are lost at the limit of the platform's rate, or repeated by
 * the next leader.
 */
class ScalingTaskTests {

	private static final long NOW_MILLIS = 1_000_000;

	private static final LeaderTerm TERM = new LeaderTerm("vm", 1, Long.MAX_VALUE);

	private final List<ScaleOrder> orders = new ArrayList<>();

	private final Map<String, Integer> engines = new HashMap<>(Map.of("a", 1, "b", 1));

	private long nowMillis = NOW_MILLIS;

	/** Time that a call to the platform takes. */
	private long callMillis;

	private CloudResponse response = new CloudResponse.Accepted();

	private final ScalingTask task = task();

	private ScalingTask task() {
		return new ScalingTask((nowMillis) -> input(), (term, service, dataCentre, count) -> {
			this.orders.add(new ScaleOrder(service, dataCentre, count));
			this.nowMillis += this.callMillis;
			return this.response;
		}, () -> this.nowMillis, new EventLog("test"));
	}

	private ScalingInput input() {
		Map<String, ScalingInput.DataCentre> dataCentres = new HashMap<>();
		this.engines.forEach((name, count) -> dataCentres.put(name,
				new ScalingInput.DataCentre(count, false, new SlotDemand(0, 20))));
		return new ScalingInput(true, true,
				Map.of("pool", new ScalingInput.Service(new ServiceProfile.Scaling(1, 9, 8_000), 12, dataCentres)));
	}

	private static void elect(ScalingTask task, @Nullable JsonNode state) {
		task.onElected(new Handover(TERM, state, true, 0), NOW_MILLIS);
	}

	private static void tick(ScalingTask task, long fromMillis, long toMillis) {
		for (long nowMillis = NOW_MILLIS + fromMillis; nowMillis < NOW_MILLIS + toMillis; nowMillis += 100) {
			task.onTick(TERM, nowMillis);
		}
	}

	@Test
	void eachOrderIsSentOnce() {
		elect(this.task, null);
		tick(this.task, 0, 6_000);
		// 40 slots and 13 of margin.
		assertThat(this.orders).containsExactly(new ScaleOrder("pool", "a", 3), new ScaleOrder("pool", "b", 2));
	}

	@Test
	void orderBeyondTheRateIsSentAtTheNextTick() {
		elect(this.task, null);
		this.response = new CloudResponse.Refused(429);
		tick(this.task, 0, 2_100);
		assertThat(this.orders.size()).isAtMost(1);
		tick(this.task, 2_100, 3_000);
		this.response = new CloudResponse.Accepted();
		this.orders.clear();
		tick(this.task, 3_000, 3_300);
		assertThat(this.orders).containsExactly(new ScaleOrder("pool", "a", 3), new ScaleOrder("pool", "b", 2));
	}

	/**
	 * Guards against a retry right behind a slow failure.
	 */
	@Test
	void pauseAfterAFailureBeginsWithTheResponse() {
		this.engines.remove("b");
		this.response = new CloudResponse.Refused(503);
		this.callMillis = 1_500;
		elect(this.task, null);
		while (this.orders.isEmpty()) {
			this.task.onTick(TERM, this.nowMillis);
			this.nowMillis += 100;
		}
		long endMillis = this.nowMillis + 800;
		while (this.nowMillis < endMillis) {
			this.task.onTick(TERM, this.nowMillis);
			this.nowMillis += 100;
		}
		assertThat(this.orders).hasSize(1);
	}

	@Test
	void nextLeaderInheritsTheOrders() {
		elect(this.task, null);
		tick(this.task, 0, 6_000);
		this.orders.clear();
		ScalingTask next = task();
		elect(next, this.task.state(NOW_MILLIS));
		tick(next, 6_000, 12_000);
		assertThat(this.orders).isEmpty();
	}

}
