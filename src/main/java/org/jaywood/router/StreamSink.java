package org.jaywood.router;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;

/**
 * Streams a model's answer to the caller as server-sent events. Each write blocks until
 * the caller's connection takes it, which stops reading from the agent.
 */
final class StreamSink implements AnswerSink {

	private final Exchange exchange;

	private final Runnable onFirstToken;

	private @Nullable OutputStream out;

	StreamSink(Exchange exchange, Runnable onFirstToken) {
		this.exchange = exchange;
		this.onFirstToken = onFirstToken;
	}

	@Override
	public void token(Frame.Token token) {
		write(Json.text(token));
	}

	@Override
	public void endTokens(long count, String digest, String weights) {
		write(Json.text(Map.of("end", true, "count", count, "digest", digest)));
		write("[DONE]");
		try {
			open().close();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
	}

	@Override
	public void plain(Frame.Head head, byte[] body) {
		throw new IllegalStateException("a stream carries tokens only");
	}

	@Override
	public boolean started() {
		return this.out != null;
	}

	private void write(String data) {
		try {
			OutputStream stream = open();
			stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
			stream.flush();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
	}

	private OutputStream open() throws IOException {
		OutputStream stream = this.out;
		if (stream == null) {
			stream = this.exchange.stream(200, "text/event-stream");
			this.out = stream;
			this.onFirstToken.run();
		}
		return stream;
	}

}
