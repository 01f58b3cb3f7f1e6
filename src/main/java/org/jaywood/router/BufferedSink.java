package org.jaywood.router;

import java.io.IOException;
import java.util.Map;
import java.util.function.LongSupplier;

import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;
import org.jaywood.wire.MemoryReservation;
import org.jaywood.wire.NotRunStatus;

/**
 * Buffers an answer and sends it when it is complete.
 */
final class BufferedSink implements AnswerSink {

	private static final int BAD_GATEWAY = 502;

	private final Exchange exchange;

	private final MemoryReservation memory;

	private final int maxAnswerBytes;

	private final LongSupplier clock;

	private final StringBuilder text = new StringBuilder();

	private int reservedBytes;

	private boolean responseStarted;

	BufferedSink(Exchange exchange, MemoryReservation memory, int maxAnswerBytes, LongSupplier clock) {
		this.exchange = exchange;
		this.memory = memory;
		this.maxAnswerBytes = maxAnswerBytes;
		this.clock = clock;
	}

	@Override
	public boolean tryReserve(int bytes) {
		if (this.reservedBytes + bytes > this.maxAnswerBytes
				|| !this.memory.tryReserve(bytes, this.clock.getAsLong())) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

	@Override
	public void token(Frame.Token token) {
		this.text.append(token.text());
	}

	@Override
	public void endTokens(long count, String digest, String weights) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		respond(() -> this.exchange.respondJson(200,
				Map.of("text", this.text.toString(), "count", count, "digest", digest, "weights", weights)));
	}

	@Override
	public void completeAnswer(Frame.Head head, byte[] body) {
		if (NotRunStatus.matches(head.status())) {
			respondUnknown(head.status());
			return;
		}
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		respond(() -> this.exchange.respond(head.status(), head.contentType(), body));
	}

	/**
	 * Responds in place of a service whose status would tell the caller that the call has
	 * not run, which no service states.
	 */
	private void respondUnknown(int status) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.UNKNOWN.headerValue());
		respond(() -> this.exchange.respondJson(BAD_GATEWAY,
				Map.of("error", Map.of("outcome", CallOutcome.UNKNOWN.headerValue(), "reason", "SERVICE_STATUS",
						"message", "the service answered with status " + status + ", the call may have run"))));
	}

	@Override
	public boolean started() {
		return this.responseStarted;
	}

	private void respond(ResponseWriter writer) {
		this.responseStarted = true;
		this.memory.beginWait(this.clock.getAsLong());
		try {
			writer.send();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
		finally {
			this.memory.endWait();
		}
	}

	@FunctionalInterface
	private interface ResponseWriter {

		void send() throws IOException;

	}

}
