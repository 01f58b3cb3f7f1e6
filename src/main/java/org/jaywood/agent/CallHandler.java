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
 * Takes calls handed over by routers, runs the admitted ones at the upstream and streams
 * the answers back. A refusal is recorded in the ledger before it is answered, so that a
 * later copy of the same hand-over cannot run after its router was told "not run".
 */
final class CallHandler {

	private final CallPreconditions gate;

	private final AdmissionController admission;

	private final AttemptRegistry ledger;

	private final RunningCalls calls;

	private final AgentMetrics metrics;

	private final PlainCallRunner plain;

	private final ModelCallContext model;

	private final EventLog log;

	private final LongSupplier clock;

	CallHandler(CallPreconditions gate, AdmissionController admission, AttemptRegistry ledger, RunningCalls calls,
			PlainCallRunner plain, ModelCallContext model, EventLog log) {
		this.gate = gate;
		this.admission = admission;
		this.ledger = ledger;
		this.calls = calls;
		this.metrics = model.metrics();
		this.plain = plain;
		this.model = model;
		this.log = log;
		this.clock = model.clock();
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/calls", this::handOver);
	}

	private void handOver(Exchange exchange) throws IOException, InterruptedException {
		CallRequest request = CallRequest.read(exchange, this.clock.getAsLong());
		AdmissionController.Permit ticket;
		try {
			ticket = admit(request);
		}
		catch (AdmissionRefusedException refusal) {
			refuse(exchange, refusal);
			return;
		}
		this.metrics.admitted();
		RunningCall call = this.calls.add(request);
		try {
			exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
			run(exchange, call, ticket);
		}
		catch (AdmissionRefusedException refusal) {
			this.ledger.markNotRun(request.router(), request.attempt());
			refuse(exchange, refusal);
		}
		catch (IOException ex) {
			throw broken(request, ex);
		}
		finally {
			ticket.release();
			this.ledger.markEnded(request.router(), request.attempt());
			this.calls.remove(call);
		}
	}

	private AdmissionController.Permit admit(CallRequest request) {
		this.gate.checkAddressee(request);
		return this.ledger.admitOnce(request.router(), request.attempt(), () -> enter(request));
	}

	private AdmissionController.Permit enter(CallRequest request) {
		this.gate.checkServiceable(request, this.clock.getAsLong());
		long tokenBytes = this.model.settings().tokenBytes();
		int maxTokens = request.plain() ? 0 : request.maxTokens();
		return this.admission.admit(request.requiredWeights(),
				request.maxUpstreamBytes(TokenSegment.firstEnd(request.resumeFrom(), maxTokens), tokenBytes),
				request.maxUpstreamBytes(maxTokens, tokenBytes));
	}

	private void run(Exchange exchange, RunningCall call, AdmissionController.Permit ticket)
			throws IOException, InterruptedException {
		if (call.request().plain()) {
			this.plain.run(exchange, call, ticket, this.clock.getAsLong());
		}
		else {
			new ModelCallRunner(this.model, exchange, call).run(ticket);
		}
	}

	private AbortedExchangeException broken(CallRequest request, IOException cause) {
		// The watchdog ends a blocked write by an interrupt, which has done its work
		// here.
		Thread.interrupted();
		this.metrics.broken();
		this.log.log(Event.CALL_BROKEN, "request", request.requestId(), "error", cause);
		return new AbortedExchangeException(String.valueOf(cause.getMessage()));
	}

	private void refuse(Exchange exchange, AdmissionRefusedException refusal) throws IOException {
		this.metrics.refused(refusal.reason());
		exchange.setHeader(Headers.LOAD, Json.text(this.admission.load()));
		exchange.respondJson(503, new Refusal(refusal.reason(), refusal.retryAfterMillis()));
	}

}
