package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Simulates a load on the dispatcher with a simulated clock and checks the results of the
 * callers.
 */
class OverloadTests {

	private static final long MAX_WAIT_MILLIS = 230;

	private static final long DURATION_MILLIS = 30_000;

	/** Duration of a call at the engine, which holds several calls. */
	private static final long CALL_MILLIS = 125;

	private static final double CAPACITY_PER_SECOND = 1_000.0 * (RoutingFixtures.SLOTS + 1) / CALL_MILLIS;

	private static Results simulate(double relativeLoad, boolean usesForecast, long seed) {
		return new OpenLoopSimulation(relativeLoad * CAPACITY_PER_SECOND, usesForecast, new Random(seed)).run();
	}

	/**
	 * Guards against callers that are queued in vain during an overload: they are refused
	 * on arrival, and as many calls are served as without the forecast.
	 */
	@Nested
	class SustainedOverload {

		@Test
		void medianRefusalIsImmediate() {
			Results results = simulate(1.4, true, 1);
			assertThat(results.refusedAfterMillis.get(results.refusedAfterMillis.size() / 2)).isEqualTo(0);
		}

		@Test
		void forecastDoesNotReduceServedCalls() {
			Results withForecast = simulate(1.4, true, 2);
			Results withoutForecast = simulate(1.4, false, 2);
			assertThat((double) withForecast.servedCalls).isAtLeast(0.98 * withoutForecast.servedCalls);
		}

		@Test
		void forecastDoesNotLengthenMeanWait() {
			assertThat(simulate(1.4, true, 3).meanWaitMillis()).isAtMost(simulate(1.4, false, 3).meanWaitMillis());
		}

	}

	/**
	 * Guards against refusals while engines have capacity for all calls.
	 */
	@Nested
	class LightLoad {

		@Test
		void noCallIsRefusedBelowCapacity() {
			assertThat(simulate(0.6, true, 4).refusedAfterMillis).isEmpty();
		}

	}

	/**
	 * Simulates one engine with open-loop arrivals.
	 */
	private static final class OpenLoopSimulation {

		private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

		private final double arrivalsPerSecond;

		private final boolean usesForecast;

		private final Random random;

		private final List<TimedCall> queuedCalls = new ArrayList<>();

		private final PriorityQueue<RunningCall> runningCalls = new PriorityQueue<>(
				Comparator.comparing(RunningCall::endMillis));

		private final Results results = new Results();

		OpenLoopSimulation(double arrivalsPerSecond, boolean usesForecast, Random random) {
			this.arrivalsPerSecond = arrivalsPerSecond;
			this.usesForecast = usesForecast;
			this.random = random;
			this.dispatcher.onRouteTable(RoutingFixtures.table(), 0);
			this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), 0);
		}

		Results run() {
			double nextArrivalMillis = 0;
			for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis++) {
				report(nowMillis);
				endRunningCalls(nowMillis);
				for (; nextArrivalMillis <= nowMillis; nextArrivalMillis += -Math.log(1 - this.random.nextDouble())
						* 1_000 / this.arrivalsPerSecond) {
					arrive(nowMillis);
				}
				updateQueuedCalls(nowMillis);
			}
			this.results.refusedAfterMillis.sort(Comparator.naturalOrder());
			return this.results;
		}

		private void report(long nowMillis) {
			if (nowMillis % 100 == 0) {
				this.dispatcher.onReport("a", new UpstreamReport("a", this.runningCalls.size(), 0, false, 1, true, 0,
						new LoadedWeights("model", 1, 0, 16)), nowMillis);
			}
		}

		private void endRunningCalls(long nowMillis) {
			while (!this.runningCalls.isEmpty() && this.runningCalls.peek().endMillis() <= nowMillis) {
				this.dispatcher.recordEnd(this.runningCalls.poll().placement(), Outcome.ANSWERED, nowMillis);
				this.results.servedCalls++;
			}
			updateQueuedCalls(nowMillis);
		}

		private void arrive(long nowMillis) {
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			if (this.usesForecast && !this.dispatcher.isWaitFeasible(requirements, MAX_WAIT_MILLIS, nowMillis)) {
				this.results.refusedAfterMillis.add(0L);
				return;
			}
			this.queuedCalls.add(new TimedCall(this.dispatcher.enqueue(requirements, nowMillis), nowMillis));
		}

		private void updateQueuedCalls(long nowMillis) {
			for (TimedCall call : List.copyOf(this.queuedCalls)) {
				Placement placement = call.queuedCall().placement().getNow(null);
				if (placement != null) {
					this.queuedCalls.remove(call);
					this.results.totalWaitMillis += nowMillis - call.enqueuedMillis();
					this.runningCalls.add(new RunningCall(placement, nowMillis + CALL_MILLIS));
				}
				else if (nowMillis - call.enqueuedMillis() >= MAX_WAIT_MILLIS) {
					this.dispatcher.dequeue(call.queuedCall());
					this.queuedCalls.remove(call);
					this.results.refusedAfterMillis.add(nowMillis - call.enqueuedMillis());
				}
			}
		}

		private record TimedCall(QueuedCall queuedCall, long enqueuedMillis) {
		}

		private record RunningCall(Placement placement, long endMillis) {
		}

	}

	/**
	 * Results of the callers.
	 */
	private static final class Results {

		private final List<Long> refusedAfterMillis = new ArrayList<>();

		private int servedCalls;

		private long totalWaitMillis;

		double meanWaitMillis() {
			return (double) this.totalWaitMillis / Math.max(1, this.servedCalls);
		}

	}

}
