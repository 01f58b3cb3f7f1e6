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
 * Answers what routers ask about hand-overs that they made: fences, grants and
 * cancellations. It goes on answering while the agent drains.
 */
final class CallControl {

	private static final int BODY_LIMIT_BYTES = 4_096;

	private static final long MAX_WAIT_MILLIS = 10_000;

	private final String incarnation;

	private final AdmissionController admission;

	private final AttemptRegistry ledger;

	private final FinishedAnswerCache archive;

	private final RunningCalls calls;

	private final AgentMetrics metrics;

	private final LongSupplier clock;

	CallControl(String incarnation, AdmissionController admission, AttemptRegistry ledger, FinishedAnswerCache archive,
			RunningCalls calls, AgentMetrics metrics, LongSupplier clock) {
		this.incarnation = incarnation;
		this.admission = admission;
		this.ledger = ledger;
		this.archive = archive;
		this.calls = calls;
		this.metrics = metrics;
		this.clock = clock;
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/fences", this::fence);
		port.route("POST", "/v1/calls/credit", this::credit);
		port.route("POST", "/v1/calls/cancel", this::cancel);
	}

	private void fence(Exchange exchange) throws IOException, InterruptedException {
		FenceRequest request = exchange.json(FenceRequest.class, BODY_LIMIT_BYTES);
		this.metrics.fenced();
		respond(exchange, answer(request, Math.clamp(exchange.queryLong("waitMillis", 0), 0, MAX_WAIT_MILLIS)));
	}

	private FenceReply answer(FenceRequest request, long waitMillis) throws InterruptedException {
		if (!this.incarnation.equals(request.expectedIncarnation())) {
			return new FenceReply(FenceReply.State.OTHER_INCARNATION, null, null);
		}
		FenceReply.State state = this.ledger.fenceAndAwait(request.router(), request.attempt(), waitMillis);
		if (state == FenceReply.State.FORGOTTEN) {
			Optional<FinishedAnswerCache.Answer> answer = this.archive.find(request.router(), request.attempt(),
					this.clock.getAsLong());
			if (answer.isPresent()) {
				return new FenceReply(FenceReply.State.FINISHED, answer.get().head(), answer.get().body());
			}
		}
		return new FenceReply(state, null, null);
	}

	private void credit(Exchange exchange) throws IOException {
		CreditGrant grant = exchange.json(CreditGrant.class, BODY_LIMIT_BYTES);
		Optional<RunningCall> call = find(exchange, grant.attempt(), grant.requestId());
		call.ifPresent((running) -> running.grant(grant.grantedBytes()));
		respond(exchange, Map.of("running", call.isPresent()));
	}

	private void cancel(Exchange exchange) throws IOException {
		CancelRequest request = exchange.json(CancelRequest.class, BODY_LIMIT_BYTES);
		Optional<RunningCall> call = find(exchange, request.attempt(), request.requestId());
		call.ifPresent((running) -> {
			this.metrics.cancelled();
			running.cancel();
		});
		respond(exchange, Map.of("running", call.isPresent()));
	}

	private Optional<RunningCall> find(Exchange exchange, long attempt, String requestId) {
		return this.calls.find(exchange.optionalHeader(Headers.INCARNATION).orElse(""), attempt, requestId);
	}

	private void respond(Exchange exchange, Object value) throws IOException {
		exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
		exchange.respondJson(200, value);
	}

}
