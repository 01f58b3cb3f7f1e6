package org.jaywood.bench;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * A caller that requests a long stream and reads it slowly, or not at all, through a raw
 * socket with a small receive buffer. Checks the order of the tokens and the digest at
 * the end.
 */
final class SlowReader implements Runnable, AutoCloseable {

	/**
	 * Bytes of one read. At 1 KB/s this makes two reads a second; more reads would load
	 * the machine with wake-ups of the callers.
	 */
	private static final int READ_BYTES = 512;

	private static final int RECEIVE_BUFFER_BYTES = 2_048;

	private static final int TIMEOUT_MILLIS = 120_000;

	private final Address callerPort;

	private final int number;

	private final int tokens;

	private final long readIntervalMillis;

	private final Socket socket = new Socket();

	private volatile Outcome outcome = Outcome.CONNECTING;

	private volatile boolean fullSpeed;

	private volatile boolean closing;

	private volatile String failure = "";

	/**
	 * Creates a reader.
	 * @param callerPort caller port of a router
	 * @param number number of the reader, used in its prompt
	 * @param tokens length of the answer
	 * @param bytesPerSecond rate of reading, 0 to read nothing until
	 * {@link #readAtFullSpeed}
	 */
	SlowReader(Address callerPort, int number, int tokens, int bytesPerSecond) {
		this.callerPort = callerPort;
		this.number = number;
		this.tokens = tokens;
		this.readIntervalMillis = (bytesPerSecond > 0) ? 1_000L * READ_BYTES / bytesPerSecond : Long.MAX_VALUE;
	}

	void sendRequest(String service) throws IOException {
		this.socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.socket.setSoTimeout(TIMEOUT_MILLIS);
		this.socket.connect(this.callerPort.socketAddress(), TIMEOUT_MILLIS);
		byte[] body = Json.bytes(Map.of("model", service, "prompt", "slow reader " + this.number, "max_tokens",
				this.tokens, "stream", true));
		String head = "POST /v1/completions HTTP/1.1\r\nHost: " + this.callerPort
				+ "\r\nContent-Type: application/json\r\nJaywood-Workspace: slow-" + this.number % 10
				+ "\r\nJaywood-Deadline-Millis: 600000\r\nContent-Length: " + body.length + "\r\n\r\n";
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().write(body);
		this.outcome = Outcome.READING;
	}

	@Override
	public void run() {
		try {
			ChunkedBody body = new ChunkedBody(
					new BufferedInputStream(new ThrottledInputStream(this.socket.getInputStream()), READ_BYTES));
			if (body.readHead() != 200) {
				this.outcome = Outcome.REFUSED;
				return;
			}
			this.outcome = verifyAnswer(body) ? Outcome.WHOLE : Outcome.WRONG;
		}
		catch (EOFException | SocketException ex) {
			recordFailure(Outcome.TRUNCATED, ex);
		}
		catch (IOException ex) {
			recordFailure(Outcome.STALLED, ex);
		}
	}

	private void recordFailure(Outcome failed, IOException cause) {
		if (!this.closing) {
			this.failure = String.valueOf(cause.getMessage());
			this.outcome = failed;
		}
	}

	private boolean verifyAnswer(ChunkedBody body) throws IOException {
		MessageDigest digest = Digests.newSha256();
		int next = 0;
		while (true) {
			String line = body.readBodyLine();
			if (!line.startsWith("data: ")) {
				continue;
			}
			JsonNode event = Json.read(line.substring("data: ".length()), JsonNode.class);
			if (event.has("error")) {
				throw new EOFException("error event " + event.at("/error/reason").asText());
			}
			if (event.path("end").asBoolean()) {
				return next == this.tokens && event.path("count").asInt() == this.tokens
						&& event.path("digest").asText().equals(Digests.hex(digest.digest()));
			}
			if (event.path("index").asInt(-1) != next++) {
				return false;
			}
			digest.update(event.path("text").asText().getBytes(StandardCharsets.UTF_8));
		}
	}

	/**
	 * Makes the reader read the rest of the answer at full speed.
	 */
	void readAtFullSpeed() {
		this.fullSpeed = true;
	}

	Outcome outcome() {
		return this.outcome;
	}

	String failure() {
		return this.failure;
	}

	@Override
	public void close() {
		this.closing = true;
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket is not used any more.
		}
	}

	/**
	 * State of a reader.
	 */
	enum Outcome {

		/** The request is not yet sent. */
		CONNECTING,

		/** Still reading; all tokens so far were in order. */
		READING,

		/** The complete and correct answer arrived. */
		WHOLE,

		/** The router refused the call. */
		REFUSED,

		/** The stream ended before its end marker. */
		TRUNCATED,

		/** No byte arrived within the time-out. */
		STALLED,

		/** Tokens or digest are not those expected. */
		WRONG

	}

	/**
	 * Reads at most {@link #READ_BYTES} at once and waits between reads.
	 */
	private final class ThrottledInputStream extends FilterInputStream {

		private ThrottledInputStream(InputStream in) {
			super(in);
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			awaitNextRead();
			return super.read(buffer, offset, Math.min(length, READ_BYTES));
		}

		private void awaitNextRead() throws IOException {
			long endNanos = System.nanoTime()
					+ TimeUnit.MILLISECONDS.toNanos(Math.min(SlowReader.this.readIntervalMillis, TIMEOUT_MILLIS));
			try {
				while (!SlowReader.this.fullSpeed && !SlowReader.this.closing && System.nanoTime() < endNanos) {
					TimeUnit.MILLISECONDS.sleep(Math.min(SlowReader.this.readIntervalMillis, 500));
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IOException(ex);
			}
		}

	}

}
