package org.jaywood.router;

import java.io.IOException;
import java.util.Map;
import java.util.function.LongSupplier;

import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;

/**
 * Sends an answer only when it is complete.
 */
final class BufferedSink implements AnswerSink {

	private final Exchange exchange;

	private final CallerMemory buffer;

	private final int limitBytes;

	private final LongSupplier clock;

	private final StringBuilder text = new StringBuilder();

	private int heldBytes;

	private boolean replied;

	BufferedSink(Exchange exchange, CallerMemory buffer, int limitBytes, LongSupplier clock) {
		this.exchange = exchange;
		this.buffer = buffer;
		this.limitBytes = limitBytes;
		this.clock = clock;
	}

	@Override
	public boolean tryReserve(int bytes) {
		if (this.heldBytes + bytes > this.limitBytes || !this.buffer.tryReserve(bytes, this.clock.getAsLong())) {
			return false;
		}
		this.heldBytes += bytes;
		return true;
	}

	@Override
	public void token(Frame.Token token) {
		this.text.append(token.text());
	}

	@Override
	public void endTokens(long count, String digest, String weights) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		reply(() -> this.exchange.respondJson(200,
				Map.of("text", this.text.toString(), "count", count, "digest", digest, "weights", weights)));
	}

	@Override
	public void wholeAnswer(Frame.Head head, byte[] body) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		reply(() -> this.exchange.respond(head.status(), head.contentType(), body));
	}

	@Override
	public boolean started() {
		return this.replied;
	}

	private void reply(Reply reply) {
		this.replied = true;
		this.buffer.beginWrite(this.clock.getAsLong());
		try {
			reply.send();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
		finally {
			this.buffer.endWrite();
		}
	}

	@FunctionalInterface
	private interface Reply {

		void send() throws IOException;

	}

}
