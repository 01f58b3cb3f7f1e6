package org.jaywood.agent;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

/**
 * Objects that all calls of one engine share.
 *
 * @param settings limits of calls
 * @param engine address of the engine
 * @param client client of the engine
 * @param admission admission to the engine
 * @param metrics counters
 * @param expectedWeights digest of the weights that were activated, or empty
 * @param onLimitReset called after a response reset the limit
 * @param onWrongWeights receives the weights reported by a response if others were
 * expected
 * @param clock present time in milliseconds
 */
record ModelCallContext(CallSettings settings, Address engine, WireClient client, AdmissionController admission,
		AgentMetrics metrics, Supplier<String> expectedWeights, Runnable onLimitReset, Consumer<String> onWrongWeights,
		LongSupplier clock) {

	/**
	 * Whether an engine that reports these weights may answer. An engine that has just
	 * restarted reports none; once this is detected, none are expected either, but its
	 * output must still not be used as an answer.
	 * @param served digest of the weights that the engine reports, or empty
	 */
	boolean servesExpectedWeights(String served) {
		return !served.isEmpty() && served.equals(this.expectedWeights.get());
	}

}
