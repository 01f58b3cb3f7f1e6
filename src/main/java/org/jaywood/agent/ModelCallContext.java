package org.jaywood.agent;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

/**
 * What all calls of one engine share.
 *
 * @param settings limits of calls
 * @param engine address of the engine
 * @param client client of the engine
 * @param admission admission to the engine
 * @param metrics counters
 * @param expectedWeights digest of the weights that were activated, or empty
 * @param onLimitReset called after a reply reset the limit
 * @param onWrongWeights given the weights named by a reply if others were expected
 * @param clock present time in milliseconds
 */
record ModelCallContext(CallSettings settings, Address engine, WireClient client, AdmissionController admission,
		AgentMetrics metrics, Supplier<String> expectedWeights, Runnable onLimitReset, Consumer<String> onWrongWeights,
		LongSupplier clock) {

	/**
	 * Whether an engine that names these weights may answer. One that has just restarted
	 * names none, and none are expected either once that was noticed, but what it
	 * generates then is no answer.
	 * @param served digest of the weights that the engine names, or empty
	 */
	boolean servesExpectedWeights(String served) {
		return !served.isEmpty() && served.equals(this.expectedWeights.get());
	}

}
