package org.jaywood.agent;

import java.io.IOException;
import java.util.function.LongSupplier;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.wire.AbortedExchangeException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.Refusal;

/**
 * Receives attempts from routers, runs the admitted ones at the upstream and streams the
 * answers back. A refusal is recorded in the registry before the response is sent, so
 * that a later copy of the same attempt cannot run after its router was told that it did
 * not run.
 */
final class CallHandler {

	private final CallPreconditions preconditions;

	private final AdmissionController admission;

	private final AttemptRegistry attempts;

	private final RunningCalls calls;

	private final AgentMetrics metrics;

	private final PlainCallRunner plainRunner;

	private final ModelCallContext modelContext;

	private final EventLog log;

	private final LongSupplier clock;

	CallHandler(CallPreconditions preconditions, AdmissionController admission, AttemptRegistry attempts,
			RunningCalls calls, PlainCallRunner plainRunner, ModelCallContext modelContext, EventLog log) {
		this.preconditions = preconditions;
		this.admission = admission;
		this.attempts = attempts;
		this.calls = calls;
		this.metrics = modelContext.metrics();
		this.plainRunner = plainRunner;
		this.modelContext = modelContext;
		this.log = log;
		this.clock = modelContext.clock();
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/calls", this::handleAttempt);
	}

	private void handleAttempt(Exchange exchange) throws IOException, InterruptedException {
		CallRequest request = CallRequest.read(exchange, this.clock.getAsLong());
		AdmissionController.Permit permit;
		try {
			permit = admit(request);
		}
		catch (AdmissionRefusedException refusal) {
			refuse(exchange, refusal);
			return;
		}
		this.metrics.countAdmission();
		RunningCall call = this.calls.add(request);
		try {
			exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
			run(exchange, call, permit);
		}
		catch (AdmissionRefusedException refusal) {
			this.attempts.markRefused(request.router(), request.attempt());
			refuse(exchange, refusal);
		}
		catch (IOException ex) {
			throw abortBroken(request, ex);
		}
		finally {
			permit.release();
			this.attempts.markEnded(request.router(), request.attempt());
			this.calls.remove(call);
		}
	}

	private AdmissionController.Permit admit(CallRequest request) {
		this.preconditions.checkAddressee(request);
		return this.attempts.admitOnce(request.router(), request.attempt(), () -> checkAndAdmit(request));
	}

	private AdmissionController.Permit checkAndAdmit(CallRequest request) {
		this.preconditions.checkCanRunNow(request, this.clock.getAsLong());
		long tokenBytes = this.modelContext.settings().tokenBytes();
		int maxTokens = request.plain() ? 0 : request.maxTokens();
		return this.admission.admit(request.requiredWeights(),
				request.maxUpstreamBytes(TokenSegment.firstEndIndex(request.resumeFrom(), maxTokens), tokenBytes),
				request.maxUpstreamBytes(maxTokens, tokenBytes));
	}

	private void run(Exchange exchange, RunningCall call, AdmissionController.Permit permit)
			throws IOException, InterruptedException {
		if (call.request().plain()) {
			this.plainRunner.run(exchange, call, permit, this.clock.getAsLong());
		}
		else {
			new ModelCallRunner(this.modelContext, exchange, call).run(permit);
		}
	}

	private AbortedExchangeException abortBroken(CallRequest request, IOException cause) {
		// Clears the interrupt by which the watchdog ends a blocked write.
		Thread.interrupted();
		this.metrics.countCallFailedByIo();
		this.log.log(Event.CALL_BROKEN, "request", request.requestId(), "error", cause);
		return new AbortedExchangeException(String.valueOf(cause.getMessage()));
	}

	private void refuse(Exchange exchange, AdmissionRefusedException refusal) throws IOException {
		this.metrics.countRefusal(refusal.reason());
		exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
		exchange.respondJson(503, new Refusal(refusal.reason(), refusal.retryAfterMillis()));
	}

}
