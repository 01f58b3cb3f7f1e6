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
import org.jaywood.wire.RefusalReason;

/**
 * Serves the caller port. Each caller gets a whole answer, an accurate refusal or a
 * connection that visibly breaks.
 */
final class CallerHandler {

	private final ConfigurationHolder configuration;

	private final CallReader reader;

	private final CallRelay relay;

	private final RouterLimits limits;

	private final RouterMetrics metrics;

	private final ClaimRegistry claims;

	private final CallerMemoryBudget budget;

	private final BodyReader bodies;

	private final BooleanSupplier leaving;

	private final LongSupplier clock;

	private final AtomicInteger inFlight = new AtomicInteger();

	CallerHandler(ConfigurationHolder configuration, CallRelay relay, ClaimRegistry claims, CallerMemoryBudget budget,
			BodyReader bodies, RouterLimits limits, RouterMetrics metrics, BooleanSupplier leaving,
			LongSupplier clock) {
		this.configuration = configuration;
		this.reader = new CallReader(limits);
		this.relay = relay;
		this.claims = claims;
		this.budget = budget;
		this.bodies = bodies;
		this.limits = limits;
		this.metrics = metrics;
		this.leaving = leaving;
		this.clock = clock;
	}

	void register(HttpPort port) {
		port.route("POST", "/v1/completions", (exchange) -> serve(exchange, this::complete));
		port.route("*", "/services/", (exchange) -> serve(exchange, this::plain));
	}

	int inFlight() {
		return this.inFlight.get();
	}

	private void serve(Exchange exchange, Service service) throws IOException, InterruptedException {
		// Counted before the check, so that a planned stop never misses a call.
		this.inFlight.incrementAndGet();
		try (CallerMemory buffer = this.budget.open(CallerPort.connectionCloser())) {
			if (this.leaving.getAsBoolean()) {
				refuse(exchange, new CallResult.NotRun(RefusalReason.DRAINING.name(), 1_000));
				return;
			}
			if (!buffer.tryReserve(this.limits.agentWindowBytes(), this.clock.getAsLong())) {
				refuse(exchange, new CallResult.NotRun(RefusalReason.MEMORY_FULL.name(), 1_000));
				return;
			}
			service.serve(exchange, buffer);
		}
		catch (BodyReader.BufferLimitException ex) {
			refuse(exchange, new CallResult.NotRun(RefusalReason.MEMORY_FULL.name(), 1_000));
		}
		catch (BadInputException ex) {
			error(exchange, ex.status(), CallOutcome.NOT_RUN, "BAD_INPUT", String.valueOf(ex.getMessage()));
		}
		catch (CallerGoneException ex) {
			this.metrics.recordAborted();
			throw exchange.abort("caller is gone");
		}
		finally {
			this.inFlight.decrementAndGet();
		}
	}

	private void complete(Exchange exchange, CallerMemory buffer) throws IOException, InterruptedException {
		long nowMillis = this.clock.getAsLong();
		CallReader.ModelCall model = this.reader.model(exchange, this.bodies.read(exchange, buffer),
				this.configuration.deployment(), nowMillis);
		AnswerSink sink = model.stream()
				? new StreamSink(exchange, buffer, this.clock,
						() -> this.metrics.recordFirstToken(this.clock.getAsLong() - nowMillis))
				: new BufferedSink(exchange, buffer, this.limits.answerBytes(), this.clock);
		finish(exchange, sink, this.relay.run(model.call(), sink, CallExecutor.Listener.NONE));
	}

	private void plain(Exchange exchange, CallerMemory buffer) throws IOException, InterruptedException {
		Call call = this.reader.plain(exchange, this.bodies.read(exchange, buffer), this.configuration.deployment(),
				this.clock.getAsLong());
		AnswerSink sink = new BufferedSink(exchange, buffer, this.limits.answerBytes(), this.clock);
		String key = exchange.header(Headers.IDEMPOTENCY_KEY);
		finish(exchange, sink, (key != null) ? this.claims.run(call, key, sink, System.currentTimeMillis())
				: this.relay.run(call, sink, CallExecutor.Listener.NONE));
	}

	private void finish(Exchange exchange, AnswerSink sink, CallResult result) throws IOException {
		if (sink.started() && !(result instanceof CallResult.Answered)) {
			this.metrics.recordAborted();
			throw exchange.abort("answer cannot be completed");
		}
		switch (result) {
			case CallResult.Answered answered -> this.metrics.recordOutcome(CallOutcome.ANSWERED);
			case CallResult.NotRun notRun -> refuse(exchange, notRun);
			case CallResult.Unknown unknown ->
				error(exchange, 504, CallOutcome.UNKNOWN, unknown.reason(), "the call may have run");
			case CallResult.InProgress running -> {
				exchange.setHeader("Retry-After", "1");
				error(exchange, 409, CallOutcome.UNKNOWN, "IN_PROGRESS", "a call with this key is in progress");
			}
			case CallResult.KeyReused reused ->
				error(exchange, 422, CallOutcome.NOT_RUN, "KEY_REUSED", "the key belongs to another payload");
			case CallResult.AnsweredNotKept answered ->
				error(exchange, 409, CallOutcome.ANSWERED, "ANSWERED_NOT_KEPT", "the call ran, its answer is not kept");
		}
	}

	private void refuse(Exchange exchange, CallResult.NotRun notRun) throws IOException {
		this.metrics.recordRefusal(notRun.reason());
		long seconds = Math.max(1, (notRun.retryAfterMillis() + 999) / 1_000);
		exchange.setHeader("Retry-After", Long.toString(seconds));
		error(exchange, 503, CallOutcome.NOT_RUN, notRun.reason(), "the call did not run");
	}

	private void error(Exchange exchange, int status, CallOutcome outcome, String reason, String message)
			throws IOException {
		this.metrics.recordOutcome(outcome);
		exchange.setHeader(Headers.OUTCOME, outcome.headerValue());
		exchange.respondJson(status,
				Map.of("error", Map.of("outcome", outcome.headerValue(), "reason", reason, "message", message)));
	}

	@FunctionalInterface
	private interface Service {

		void serve(Exchange exchange, CallerMemory buffer) throws IOException, InterruptedException;

	}

}
