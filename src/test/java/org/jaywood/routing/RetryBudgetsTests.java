package org.jaywood.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways that together send more retries than a service may receive.
 */
class RetryBudgetsTests {

	private static final double RETRIES_PER_CALL = 0.2;

	private static final double EXTRA_RETRIES_PER_WINDOW = 120;

	private static final int WINDOW_MILLIS = 10_000;

	private static final int STEP_MILLIS = 100;

	private static final int STEP_COUNT = 400;

	private static final int WINDOW_STEPS = WINDOW_MILLIS / STEP_MILLIS;

	/** Guards against fleets with so many gateways that none of them may ever retry. */
	@Test
	void callsEarnRetriesWithManyGateways() {
		RetryBudgets budgets = new RetryBudgets(RETRIES_PER_CALL, EXTRA_RETRIES_PER_WINDOW, WINDOW_MILLIS);
		budgets.resize(OptionalInt.of(370), 370, 0);
		RetryBudget budget = budgets.of("service", 0);
		IntStream.range(0, 100).forEach((call) -> budget.recordCall());
		assertThat(budget.tryAcquire(0)).isTrue();
	}

	/** Guards against retries that many gateways accumulate while there are no calls. */
	@Test
	void floorDoesNotAccumulateARetryWithManyGateways() {
		RetryBudgets budgets = new RetryBudgets(RETRIES_PER_CALL, EXTRA_RETRIES_PER_WINDOW, WINDOW_MILLIS);
		budgets.resize(OptionalInt.of(370), 370, 0);
		RetryBudget budget = budgets.of("service", 0);
		assertThat(budget.tryAcquire(10 * WINDOW_MILLIS)).isFalse();
	}

	/**
	 * Simulates a fleet in which each gateway takes all retries that its budget allows,
	 * while gateways join, are killed, lose power together and are partitioned, and while
	 * the reports of agents arrive late.
	 */
	@Property(tries = 300, seed = "1")
	void retriesOfAllGatewaysStayWithinBudget(@ForAll @IntRange(min = 1, max = 24) int gateways,
			@ForAll @IntRange(max = 5) int callsPerStep, @ForAll @IntRange(max = 2_000) int reportDelayMillis,
			@ForAll long seed) {
		FleetSimulation simulation = new FleetSimulation(gateways, callsPerStep, reportDelayMillis, new Random(seed));
		IntStream.range(0, STEP_COUNT).forEach(simulation::step);
		IntStream.range(0, STEP_COUNT)
			.forEach((step) -> assertThat((double) simulation.retries(step))
				.isAtMost(RETRIES_PER_CALL * simulation.calls(step) + EXTRA_RETRIES_PER_WINDOW));
	}

	/**
	 * Simulated fleet of gateways that share one service.
	 */
	private static final class FleetSimulation {

		/**
		 * Longest time in which an agent and a gateway that both run discover each other.
		 */
		private static final int MAX_DISCOVERY_MILLIS = 1_500;

		private static final int RESIZE_INTERVAL_STEPS = 3;

		private final List<SimulatedGateway> gateways;

		private final Random random;

		private final int callsPerStep;

		private final int reportDelaySteps;

		private final int powerLossStep;

		private final int partitionStep;

		private final int[] retries = new int[STEP_COUNT];

		private final int[] calls = new int[STEP_COUNT];

		FleetSimulation(int gatewayCount, int callsPerStep, int reportDelayMillis, Random random) {
			this.random = random;
			this.callsPerStep = callsPerStep;
			this.reportDelaySteps = reportDelayMillis / STEP_MILLIS;
			this.powerLossStep = random.nextInt(STEP_COUNT);
			this.partitionStep = random.nextInt(STEP_COUNT);
			this.gateways = new ArrayList<>(IntStream.range(0, gatewayCount).mapToObj(this::newGateway).toList());
		}

		void step(int step) {
			if (step == this.powerLossStep) {
				this.gateways.replaceAll((gateway) -> newGateway(step));
			}
			if (this.random.nextInt(WINDOW_STEPS) == 0) {
				this.gateways.set(this.random.nextInt(this.gateways.size()), newGateway(step));
			}
			this.gateways.forEach((gateway) -> gateway.reportedCounts[step] = reportedCount(gateway, step));
			this.gateways.forEach((gateway) -> serve(gateway, step));
		}

		private SimulatedGateway newGateway(int step) {
			int discoverySteps = this.random.nextInt(MAX_DISCOVERY_MILLIS / STEP_MILLIS);
			return new SimulatedGateway(new RetryBudgets(RETRIES_PER_CALL, EXTRA_RETRIES_PER_WINDOW, WINDOW_MILLIS),
					step + discoverySteps, this.random.nextInt(RESIZE_INTERVAL_STEPS), this.random.nextBoolean(),
					new int[STEP_COUNT]);
		}

		/**
		 * Returns the number of gateways that agents report to a gateway: those that have
		 * discovered the agents, during a partition only those on its side; 0 if nothing
		 * is reported.
		 */
		private int reportedCount(SimulatedGateway gateway, int step) {
			boolean partitioned = step >= this.partitionStep && step < this.partitionStep + WINDOW_STEPS;
			return (step < gateway.discoveredStep) ? 0
					: (int) this.gateways.stream()
						.filter((other) -> step >= other.discoveredStep
								&& !(partitioned && other.partitionSide != gateway.partitionSide))
						.count();
		}

		private void serve(SimulatedGateway gateway, int step) {
			long nowMillis = (long) step * STEP_MILLIS;
			int reported = gateway.reportedCounts[Math.max(0, step - this.reportDelaySteps)];
			if (step % RESIZE_INTERVAL_STEPS == gateway.resizePhase) {
				gateway.budgets.resize((reported > 0) ? OptionalInt.of(reported) : OptionalInt.empty(),
						Math.max(1, reported), nowMillis);
			}
			RetryBudget budget = gateway.budgets.of("service", nowMillis);
			this.calls[step] += this.callsPerStep;
			IntStream.range(0, this.callsPerStep).forEach((call) -> budget.recordCall());
			this.retries[step] += (int) Stream.generate(() -> budget.tryAcquire(nowMillis))
				.takeWhile((granted) -> granted)
				.count();
		}

		int retries(int firstStep) {
			return sum(this.retries, firstStep);
		}

		/**
		 * Returns the calls in the window that starts with a step, or in one of the two
		 * windows that start half a window or a whole window earlier, whichever has most.
		 */
		int calls(int firstStep) {
			return IntStream.of(0, WINDOW_STEPS / 2, WINDOW_STEPS)
				.map((earlier) -> sum(this.calls, firstStep - earlier))
				.max()
				.orElseThrow();
		}

		private static int sum(int[] values, int firstStep) {
			return IntStream.range(Math.max(0, firstStep), Math.min(STEP_COUNT, Math.max(0, firstStep + WINDOW_STEPS)))
				.map((step) -> values[step])
				.sum();
		}

	}

	/**
	 * Simulated gateway from one start on.
	 *
	 * @param discoveredStep step from which agents count it and report to it
	 * @param resizePhase step in which it first adapts its budgets
	 * @param partitionSide its side of a partition
	 * @param reportedCounts number of gateways reported to it in each step, 0 for none
	 */
	private record SimulatedGateway(RetryBudgets budgets, int discoveredStep, int resizePhase, boolean partitionSide,
			int[] reportedCounts) {
	}

}
