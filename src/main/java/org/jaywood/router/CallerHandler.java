package org.jaywood.router;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.jaywood.config.ConfigurationHolder;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.MemoryBudget;
import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;
import org.jaywood.wire.MemoryUse;
import org.jaywood.wire.RefusalReason;

/**
 * Handles the requests of callers. Each caller gets a complete answer, an error that
 * states whether the call ran, or an aborted connection that cannot be taken for a
 * complete answer.
 */
final class CallerHandler {

	private final ConfigurationHolder configuration;

	private final CallReader reader;

	private final CallRelay relay;

	private final RouterLimits limits;

	private final RouterMetrics metrics;

	private final ClaimRegistry claims;

	private final MemoryBudget callerMemory;

	private final BodyReader bodyReader;

	private final BooleanSupplier draining;

	private final LongSupplier clock;

	private final AtomicInteger inFlight = new AtomicInteger();

	CallerHandler(ConfigurationHolder configuration, CallRelay relay, ClaimRegistry claims, MemoryBudget callerMemory,
			BodyReader bodyReader, RouterLimits limits, RouterMetrics metrics, BooleanSupplier draining,
			LongSupplier clock) {
		this.configuration = configuration;
		this.reader = new CallReader(limits);
		this.relay = relay;
		this.claims = claims;
		this.callerMemory = callerMemory;
		this.bodyReader = bodyReader;
		this.limits = limits;
		this.metrics = metrics;
		this.draining = draining;
		this.clock = clock;
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/completions", (exchange) -> serve(exchange, this::serveCompletion));
		port.route("*", "/services/", (exchange) -> serve(exchange, this::servePlainCall));
	}

	int inFlight() {
		return this.inFlight.get();
	}

	private void serve(Exchange exchange, ExchangeHandler handler) throws IOException, InterruptedException {
		// Counted before the check, so that a graceful shutdown never misses a call.
		this.inFlight.incrementAndGet();
		try (MemoryReservation memory = this.callerMemory.open(MemoryUse.ROUTER_CALLER,
				CallerPort.connectionCloser())) {
			if (this.draining.getAsBoolean()) {
				respondNotRun(exchange, new CallResult.NotRun(RefusalReason.DRAINING.name(), 1_000));
				return;
			}
			if (!memory.tryReserve(this.limits.agentWindowBytes(), this.clock.getAsLong())) {
				respondNotRun(exchange, new CallResult.NotRun(RefusalReason.MEMORY_FULL.name(), 1_000));
				return;
			}
			handler.serve(exchange, memory);
		}
		catch (MemoryLimitException ex) {
			respondNotRun(exchange, new CallResult.NotRun(RefusalReason.MEMORY_FULL.name(), 1_000));
		}
		catch (BadInputException ex) {
			respondError(exchange, ex.status(), CallOutcome.NOT_RUN, "BAD_INPUT", String.valueOf(ex.getMessage()));
		}
		catch (CallerGoneException ex) {
			this.metrics.recordAbortedCall();
			throw exchange.abort("caller is gone");
		}
		finally {
			this.inFlight.decrementAndGet();
		}
	}

	private void serveCompletion(Exchange exchange, MemoryReservation memory) throws IOException, InterruptedException {
		long nowMillis = this.clock.getAsLong();
		CallReader.ModelCall model = this.reader.readModelCall(exchange, this.bodyReader.read(exchange, memory),
				this.configuration.deployment(), nowMillis);
		AnswerSink sink = model.stream()
				? new StreamSink(exchange, memory, this.clock,
						() -> this.metrics.recordFirstToken(this.clock.getAsLong() - nowMillis))
				: new BufferedSink(exchange, memory, this.limits.maxAnswerBytes(), this.clock);
		respond(exchange, sink, this.relay.run(model.call(), sink, CallExecutor.Listener.NONE));
	}

	private void servePlainCall(Exchange exchange, MemoryReservation memory) throws IOException, InterruptedException {
		Call call = this.reader.readPlainCall(exchange, this.bodyReader.read(exchange, memory),
				this.configuration.deployment(), this.clock.getAsLong());
		AnswerSink sink = new BufferedSink(exchange, memory, this.limits.maxAnswerBytes(), this.clock);
		String key = exchange.header(Headers.IDEMPOTENCY_KEY);
		respond(exchange, sink, (key != null) ? this.claims.run(call, key, sink, System.currentTimeMillis())
				: this.relay.run(call, sink, CallExecutor.Listener.NONE));
	}

	private void respond(Exchange exchange, AnswerSink sink, CallResult result) throws IOException {
		if (sink.started() && !(result instanceof CallResult.Answered)) {
			this.metrics.recordAbortedCall();
			throw exchange.abort("answer cannot be completed");
		}
		switch (result) {
			case CallResult.Answered answered -> this.metrics.recordOutcome(CallOutcome.ANSWERED);
			case CallResult.NotRun notRun -> respondNotRun(exchange, notRun);
			case CallResult.Unknown unknown ->
				respondError(exchange, 504, CallOutcome.UNKNOWN, unknown.reason(), "the call may have run");
			case CallResult.InProgress running -> {
				exchange.setHeader("Retry-After", "1");
				respondError(exchange, 409, CallOutcome.UNKNOWN, "IN_PROGRESS", "a call with this key is in progress");
			}
			case CallResult.KeyReused reused ->
				respondError(exchange, 422, CallOutcome.NOT_RUN, "KEY_REUSED", "the key belongs to another payload");
			case CallResult.AnsweredNotKept answered -> respondError(exchange, 409, CallOutcome.ANSWERED,
					"ANSWERED_NOT_KEPT", "the call ran, its answer is not kept");
		}
	}

	private void respondNotRun(Exchange exchange, CallResult.NotRun notRun) throws IOException {
		this.metrics.recordRefusal(notRun.reason());
		long seconds = Math.max(1, (notRun.retryAfterMillis() + 999) / 1_000);
		exchange.setHeader("Retry-After", Long.toString(seconds));
		respondError(exchange, 503, CallOutcome.NOT_RUN, notRun.reason(), "the call did not run");
	}

	private void respondError(Exchange exchange, int status, CallOutcome outcome, String reason, String message)
			throws IOException {
		this.metrics.recordOutcome(outcome);
		exchange.setHeader(Headers.OUTCOME, outcome.headerValue());
		exchange.respondJson(status,
				Map.of("error", Map.of("outcome", outcome.headerValue(), "reason", reason, "message", message)));
	}

	@FunctionalInterface
	private interface ExchangeHandler {

		void serve(Exchange exchange, MemoryReservation memory) throws IOException, InterruptedException;

	}

}
