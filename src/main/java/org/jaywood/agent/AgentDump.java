package org.jaywood.agent;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jaywood.peer.PeerNode;
import org.jaywood.weights.ChunkExchange;
import org.jaywood.weights.ExchangeState;

/**
 * State of an agent as shown by the operator port. It contains no prompts, bodies or
 * credentials.
 *
 * @param peer connection to platform and peers
 * @param admission admission to the upstream
 * @param calls running calls
 * @param attempts attempts received
 * @param finishedAnswers finished answers
 * @param reconciler source of the weights that the engine serves
 * @param exchange weights in the staging area
 */
record AgentDump(PeerNode peer, AdmissionController admission, RunningCalls calls, AttemptRegistry attempts,
		FinishedAnswerCache finishedAnswers, EngineReconciler reconciler, ChunkExchange exchange) {

	Map<String, Object> values() {
		Map<String, Object> values = new LinkedHashMap<>();
		values.put("identity", this.peer.identity());
		values.put("generation", this.peer.configuration().current().generation());
		values.put("inFlight", this.admission.inFlight());
		values.put("calls", this.calls.count());
		values.put("leaving", this.admission.shuttingDown());
		values.put("load", this.admission.load());
		putWeights(values);
		values.put("ledger",
				Map.of("routers", this.attempts.routerCount(), "closedRouters", this.attempts.closedRouterCount(),
						"archivedAnswers", this.finishedAnswers.count(), "archivedBytes",
						this.finishedAnswers.bytes()));
		values.put("peer", this.peer.state());
		return values;
	}

	private void putWeights(Map<String, Object> values) {
		ReconcilerStatus weights = this.reconciler.state();
		values.put("upstreamState", weights.upstreamState());
		values.put("behindReason", weights.behindReason());
		values.put("wantedWeights", weights.targetWeights());
		values.put("servedWeights", weights.servedWeights());
		ExchangeState chunks = this.exchange.state();
		values.put("chunksVerified", chunks.chunksVerified());
		values.put("chunksWanted", chunks.chunksWanted());
		values.put("stagingBytes", chunks.stagingBytes());
		values.put("stagingLimitBytes", chunks.stagingLimitBytes());
		values.put("fetchedBytes", chunks.fetchedBytes());
	}

}
