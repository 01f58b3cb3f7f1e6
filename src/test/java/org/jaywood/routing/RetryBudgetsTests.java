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
 * Guards against gateways that together retry more than a service may get.
 */
class RetryBudgetsTests {

	private static final double RATIO = 0.2;

	private static final double EXTRA = 120;

	private static final int WINDOW_MILLIS = 10_000;

	private static final int STEP_MILLIS = 100;

	private static final int STEPS = 400;

	private static final int WINDOW_STEPS = WINDOW_MILLIS / STEP_MILLIS;

	/** Guards against fleets of so many gateways that none of them may ever retry. */
	@Test
	void callsEarnRetriesHoweverManyGatewaysThereAre() {
		RetryBudgets budgets = new RetryBudgets(RATIO, EXTRA, WINDOW_MILLIS);
		budgets.resize(OptionalInt.of(370), 370, 0);
		RetryBudget budget = budgets.of("service", 0);
		IntStream.range(0, 100).forEach((call) -> budget.recordCall());
		assertThat(budget.tryAcquire(0)).isTrue();
	}

	/** Guards against retries that many gateways save up while there are no calls. */
	@Test
	void theFloorOfManyGatewaysSavesNoRetries() {
		RetryBudgets budgets = new RetryBudgets(RATIO, EXTRA, WINDOW_MILLIS);
		budgets.resize(OptionalInt.of(370), 370, 0);
		RetryBudget budget = budgets.of("service", 0);
		assertThat(budget.tryAcquire(10 * WINDOW_MILLIS)).isFalse();
	}

	/**
	 * Plays a fleet whose calls all ask for retries while gateways join, are killed, lose
	 * power together and are cut off in part, and while what agents tell comes late.
	 */
	@Property(tries = 300, seed = "1")
	void allGatewaysTogetherStayWithinTheBudget(@ForAll @IntRange(min = 1, max = 24) int gateways,
			@ForAll @IntRange(max = 5) int callsInStep, @ForAll @IntRange(max = 2_000) int lateMillis,
			@ForAll long seed) {
		FleetPlay play = new FleetPlay(gateways, callsInStep, lateMillis, new Random(seed));
		IntStream.range(0, STEPS).forEach(play::step);
		IntStream.range(0, STEPS)
			.forEach((step) -> assertThat((double) play.taken(step)).isAtMost(RATIO * play.calls(step) + EXTRA));
	}

	/**
	 * A fleet of gateways that share one service.
	 */
	private static final class FleetPlay {

		/** Longest time in which an agent and a gateway that both run find each other. */
		private static final int FIND_MILLIS = 1_500;

		private static final int RESIZE_STEPS = 3;

		private final List<PlayedGateway> fleet;

		private final Random random;

		private final int callsInStep;

		private final int lateSteps;

		private final int powerLossStep;

		private final int cutStep;

		private final int[] taken = new int[STEPS];

		private final int[] calls = new int[STEPS];

		FleetPlay(int gateways, int callsInStep, int lateMillis, Random random) {
			this.random = random;
			this.callsInStep = callsInStep;
			this.lateSteps = lateMillis / STEP_MILLIS;
			this.powerLossStep = random.nextInt(STEPS);
			this.cutStep = random.nextInt(STEPS);
			this.fleet = new ArrayList<>(IntStream.range(0, gateways).mapToObj(this::started).toList());
		}

		void step(int step) {
			if (step == this.powerLossStep) {
				this.fleet.replaceAll((gateway) -> started(step));
			}
			if (this.random.nextInt(WINDOW_STEPS) == 0) {
				this.fleet.set(this.random.nextInt(this.fleet.size()), started(step));
			}
			this.fleet.forEach((gateway) -> gateway.told[step] = told(gateway, step));
			this.fleet.forEach((gateway) -> serve(gateway, step));
		}

		private PlayedGateway started(int step) {
			int findSteps = this.random.nextInt(FIND_MILLIS / STEP_MILLIS);
			return new PlayedGateway(new RetryBudgets(RATIO, EXTRA, WINDOW_MILLIS), step + findSteps,
					this.random.nextInt(RESIZE_STEPS), this.random.nextBoolean(), new int[STEPS]);
		}

		/**
		 * What the agents tell a gateway: how many gateways have found them, on its side
		 * of the cut only while the fleet is cut in two. 0 if nothing.
		 */
		private int told(PlayedGateway gateway, int step) {
			boolean cut = step >= this.cutStep && step < this.cutStep + WINDOW_STEPS;
			return (step < gateway.foundStep) ? 0
					: (int) this.fleet.stream()
						.filter((other) -> step >= other.foundStep && !(cut && other.side != gateway.side))
						.count();
		}

		private void serve(PlayedGateway gateway, int step) {
			long nowMillis = (long) step * STEP_MILLIS;
			int told = gateway.told[Math.max(0, step - this.lateSteps)];
			if (step % RESIZE_STEPS == gateway.resizePhase) {
				gateway.budgets.resize((told > 0) ? OptionalInt.of(told) : OptionalInt.empty(), Math.max(1, told),
						nowMillis);
			}
			RetryBudget budget = gateway.budgets.of("service", nowMillis);
			this.calls[step] += this.callsInStep;
			IntStream.range(0, this.callsInStep).forEach((call) -> budget.recordCall());
			this.taken[step] += (int) Stream.generate(() -> budget.tryAcquire(nowMillis))
				.takeWhile((granted) -> granted)
				.count();
		}

		int taken(int firstStep) {
			return sum(this.taken, firstStep);
		}

		/**
		 * Calls in the window that begins with a step, or in an earlier one that counts
		 * instead.
		 */
		int calls(int firstStep) {
			return IntStream.of(0, WINDOW_STEPS / 2, WINDOW_STEPS)
				.map((earlier) -> sum(this.calls, firstStep - earlier))
				.max()
				.orElseThrow();
		}

		private static int sum(int[] values, int firstStep) {
			return IntStream.range(Math.max(0, firstStep), Math.min(STEPS, Math.max(0, firstStep + WINDOW_STEPS)))
				.map((step) -> values[step])
				.sum();
		}

	}

	/**
	 * A gateway from one start on.
	 *
	 * @param foundStep step from which agents count it and tell it their number
	 * @param resizePhase step in which it first cuts its budgets
	 * @param side side of a cut on which it lies
	 * @param told number told in each step, 0 for none
	 */
	private record PlayedGateway(RetryBudgets budgets, int foundStep, int resizePhase, boolean side, int[] told) {
	}

}
