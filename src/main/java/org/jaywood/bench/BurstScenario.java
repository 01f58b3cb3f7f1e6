package org.jaywood.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import org.jaywood.weights.WeightMode;

/**
 * Arguments of the burst experiment.
 *
 * @param mode how weights are distributed
 * @param fault fault during the burst
 */
record BurstScenario(WeightMode mode, Fault fault) {

	/**
	 * Reads the arguments of the experiment, in any order.
	 */
	static BurstScenario parse(List<String> arguments) {
		BurstScenario scenario = new BurstScenario(WeightMode.TREE, Fault.NONE);
		for (String argument : arguments) {
			scenario = scenario.with(argument.toUpperCase(Locale.ROOT));
		}
		return scenario;
	}

	private BurstScenario with(String argument) {
		if (names(WeightMode.values()).contains(argument)) {
			return new BurstScenario(WeightMode.valueOf(argument), this.fault);
		}
		if (names(Fault.values()).contains(argument)) {
			return new BurstScenario(this.mode, Fault.valueOf(argument));
		}
		throw new IllegalArgumentException("argument '" + argument.toLowerCase(Locale.ROOT)
				+ "' is not allowed: expected tree, store, plain, none, kill5, stall1 or corrupt1");
	}

	private static List<String> names(Enum<?>[] values) {
		return Stream.of(values).map(Enum::name).toList();
	}

	/**
	 * Fault during a burst.
	 */
	enum Fault {

		/** No fault. */
		NONE,

		/** 5 % of the VMs are killed but stay on the platform's list. */
		KILL5,

		/** One VM accepts connections, but no bytes pass on them. */
		STALL1,

		/** About 1 % of the chunks arrive corrupted. */
		CORRUPT1

	}

}
