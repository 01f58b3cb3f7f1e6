package org.jaywood.agent;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.jaywood.wire.CancelRequest;
import org.jaywood.wire.CreditGrant;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.FenceRequest;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Serves requests of routers about their attempts: fences, credit grants and
 * cancellations. It also serves them while the agent is draining.
 */
final class CallControl {

	private static final int MAX_BODY_BYTES = 4_096;

	private static final long MAX_FENCE_WAIT_MILLIS = 10_000;

	private final String incarnation;

	private final AdmissionController admission;

	private final AttemptRegistry attempts;

	private final FinishedAnswerCache finishedAnswers;

	private final RunningCalls calls;

	private final AgentMetrics metrics;

	private final LongSupplier clock;

	CallControl(String incarnation, AdmissionController admission, AttemptRegistry attempts,
			FinishedAnswerCache finishedAnswers, RunningCalls calls, AgentMetrics metrics, LongSupplier clock) {
		this.incarnation = incarnation;
		this.admission = admission;
		this.attempts = attempts;
		this.finishedAnswers = finishedAnswers;
		this.calls = calls;
		this.metrics = metrics;
		this.clock = clock;
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/fences", this::fence);
		port.route("POST", "/v1/calls/credit", this::grantCredit);
		port.route("POST", "/v1/calls/cancel", this::cancel);
	}

	private void fence(Exchange exchange) throws IOException, InterruptedException {
		FenceRequest request = exchange.readJson(FenceRequest.class, MAX_BODY_BYTES);
		this.metrics.countFenceRequest();
		respond(exchange,
				fenceReply(request, Math.clamp(exchange.queryLong("waitMillis", 0), 0, MAX_FENCE_WAIT_MILLIS)));
	}

	private FenceReply fenceReply(FenceRequest request, long waitMillis) throws InterruptedException {
		if (!this.incarnation.equals(request.expectedIncarnation())) {
			return new FenceReply(FenceReply.State.OTHER_INCARNATION, null, null);
		}
		FenceReply.State state = this.attempts.fenceAndAwait(request.router(), request.attempt(), waitMillis);
		if (state == FenceReply.State.FORGOTTEN) {
			Optional<FinishedAnswerCache.Answer> answer = this.finishedAnswers.find(request.router(), request.attempt(),
					this.clock.getAsLong());
			if (answer.isPresent()) {
				return new FenceReply(FenceReply.State.FINISHED, answer.get().head(), answer.get().body());
			}
		}
		return new FenceReply(state, null, null);
	}

	private void grantCredit(Exchange exchange) throws IOException {
		CreditGrant grant = exchange.readJson(CreditGrant.class, MAX_BODY_BYTES);
		Optional<RunningCall> call = findCall(exchange, grant.attempt(), grant.requestId());
		call.ifPresent((running) -> running.grant(grant.grantedBytes()));
		respond(exchange, Map.of("running", call.isPresent()));
	}

	private void cancel(Exchange exchange) throws IOException {
		CancelRequest request = exchange.readJson(CancelRequest.class, MAX_BODY_BYTES);
		Optional<RunningCall> call = findCall(exchange, request.attempt(), request.requestId());
		call.ifPresent((running) -> {
			this.metrics.countCancellation();
			running.cancel();
		});
		respond(exchange, Map.of("running", call.isPresent()));
	}

	private Optional<RunningCall> findCall(Exchange exchange, long attempt, String requestId) {
		return this.calls.find(exchange.optionalHeader(Headers.INCARNATION).orElse(""), attempt, requestId);
	}

	private void respond(Exchange exchange, Object value) throws IOException {
		exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
		exchange.respondJson(200, value);
	}

}
