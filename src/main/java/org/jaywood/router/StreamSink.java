package org.jaywood.router;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;
import org.jaywood.wire.MemoryReservation;

/**
 * Streams a model's answer to the caller as server-sent events. Each write blocks until
 * the caller's connection accepts it; meanwhile the router does not read from the agent.
 */
final class StreamSink implements AnswerSink {

	private final Exchange exchange;

	private final MemoryReservation memory;

	private final LongSupplier clock;

	private final Runnable onFirstToken;

	private @Nullable OutputStream out;

	StreamSink(Exchange exchange, MemoryReservation memory, LongSupplier clock, Runnable onFirstToken) {
		this.exchange = exchange;
		this.memory = memory;
		this.clock = clock;
		this.onFirstToken = onFirstToken;
	}

	@Override
	public boolean tryReserve(int bytes) {
		// Memory for the credit window of the agent is reserved when the call starts.
		return true;
	}

	@Override
	public void token(Frame.Token token) {
		write(Json.text(token));
	}

	@Override
	public void endTokens(long count, String digest, String weights) {
		write(Json.text(Map.of("end", true, "count", count, "digest", digest)));
		write("[DONE]");
		writeToCaller(() -> openStream().close());
	}

	@Override
	public void completeAnswer(Frame.Head head, byte[] body) {
		throw new IllegalStateException("a stream carries tokens only");
	}

	@Override
	public boolean started() {
		return this.out != null;
	}

	private void write(String data) {
		writeToCaller(() -> {
			OutputStream stream = openStream();
			stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
			stream.flush();
		});
	}

	private void writeToCaller(WriteAction action) {
		this.memory.beginWait(this.clock.getAsLong());
		try {
			action.run();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
		finally {
			this.memory.endWait();
		}
	}

	private OutputStream openStream() throws IOException {
		OutputStream stream = this.out;
		if (stream == null) {
			stream = this.exchange.stream(200, "text/event-stream");
			this.out = stream;
			this.onFirstToken.run();
		}
		return stream;
	}

	@FunctionalInterface
	private interface WriteAction {

		void run() throws IOException;

	}

}
