package org.jaywood.router;

import java.io.IOException;
import java.util.Map;

import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;

/**
 * Sends an answer only when it is complete.
 */
final class WholeSink implements AnswerSink {

	private final Exchange exchange;

	private final int limitChars;

	private final StringBuilder text = new StringBuilder();

	private boolean replied;

	WholeSink(Exchange exchange, int limitChars) {
		this.exchange = exchange;
		this.limitChars = limitChars;
	}

	@Override
	public void token(Frame.Token token) {
		if (this.text.length() + token.text().length() > this.limitChars) {
			throw this.exchange.abort("answer exceeds " + this.limitChars + " characters");
		}
		this.text.append(token.text());
	}

	@Override
	public void endTokens(long count, String digest, String weights) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		reply(() -> this.exchange.respondJson(200,
				Map.of("text", this.text.toString(), "count", count, "digest", digest, "weights", weights)));
	}

	@Override
	public void plain(Frame.Head head, byte[] body) {
		this.exchange.setHeader(Headers.OUTCOME, CallOutcome.ANSWERED.headerValue());
		reply(() -> this.exchange.respond(head.status(), head.contentType(), body));
	}

	@Override
	public boolean started() {
		return this.replied;
	}

	private void reply(Reply reply) {
		this.replied = true;
		try {
			reply.send();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
	}

	@FunctionalInterface
	private interface Reply {

		void send() throws IOException;

	}

}
