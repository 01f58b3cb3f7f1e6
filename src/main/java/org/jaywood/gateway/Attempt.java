package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;

import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.Framing;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;

/**
 * One sending of a call to one upstream. It reads the answer in steps of bounded time, so
 * that a call can listen to two attempts in turn. Used by the task of the call.
 */
final class Attempt {

	/** Time for the body of an answer that is not passed on as it comes. */
	private static final long BUFFERED_BODY_TIMEOUT_MILLIS = 500;

	/** Largest body that is read whole before its head is passed on. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/** Answers to earlier calls that are skipped on one connection. */
	private static final int MAX_STRAY_RESPONSES = 2;

	private static final int READ_BUFFER_BYTES = 8 * 1024;

	private final Placement placement;

	private final ClientConnection connection;

	private final CallProtocol protocol;

	private final Call call;

	private final @Nullable StreamProgress resumedStream;

	private final EventStreamFramer framer;

	private byte @Nullable [] readBuffer;

	private @Nullable StreamedResponse response;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private int eventsTaken;

	private int strayResponses;

	private boolean responseComplete;

	private boolean timedOut;

	private boolean ended;

	/**
	 * Creates an attempt whose request has been sent.
	 * @param resumed what the caller has of the stream that this attempt goes on with, or
	 * null if it begins the answer
	 */
	Attempt(Placement placement, ClientConnection connection, CallProtocol protocol, Call call,
			@Nullable StreamProgress resumed) {
		this.placement = placement;
		this.connection = connection;
		this.protocol = protocol;
		this.call = call;
		this.resumedStream = resumed;
		this.framer = new EventStreamFramer(call.route().policy().retryable(),
				(resumed != null) ? resumed.lastEventId() : null);
	}

	Placement placement() {
		return this.placement;
	}

	ClientConnection connection() {
		return this.connection;
	}

	/**
	 * The head of the answer, which must have arrived.
	 */
	StreamedResponse response() {
		if (this.response == null) {
			throw new IllegalStateException("no answer has arrived");
		}
		return this.response;
	}

	/**
	 * Waits until the caller can be told more: a plain answer whose body is whole or too
	 * large to be held, an event of a stream, or its end. A head alone is no answer,
	 * since what follows may never come.
	 * @return whether it has arrived; {@link #takePending} gives it
	 * @throws AttemptEndedException if the upstream has not run the call, or failed
	 * @throws IOException if the answer breaks or does not go on as it should
	 */
	boolean awaitProgress(long waitMillis) throws IOException {
		if (hasProgress()) {
			return true;
		}
		if (!awaitHead(waitMillis)) {
			return false;
		}
		if (streaming()) {
			readEvents(waitMillis);
		}
		else {
			this.pending.write(readBuffer(), 0, read(waitMillis));
		}
		return hasProgress();
	}

	private boolean hasProgress() {
		return this.responseComplete || this.framer.events() > this.eventsTaken
				|| this.pending.size() > MAX_BUFFERED_BYTES;
	}

	/**
	 * Whether the answer is a stream of events, of which whole ones are passed on as they
	 * come.
	 */
	boolean streaming() {
		return this.call.route().policy().streaming() && response().status() == HttpStatus.SC_OK;
	}

	private void readEvents(long waitMillis) throws IOException {
		int length = read(waitMillis);
		this.pending.writeBytes(this.responseComplete ? remainingBytes() : this.framer.append(readBuffer(), length));
	}

	/**
	 * Reads what arrives of the body within a time.
	 * @return number of bytes, 0 if there were none
	 */
	private int read(long waitMillis) throws IOException {
		this.connection.setReadDeadline(waitMillis);
		try {
			int length = response().body().read(readBuffer());
			this.responseComplete = length < 0;
			return Math.max(0, length);
		}
		catch (SocketTimeoutException ex) {
			this.timedOut = true;
			return 0;
		}
	}

	private byte[] readBuffer() {
		byte[] bytes = (this.readBuffer != null) ? this.readBuffer : new byte[READ_BUFFER_BYTES];
		this.readBuffer = bytes;
		return bytes;
	}

	/**
	 * Takes what can be passed on: whole events, or the bytes of a plain body so far.
	 */
	byte[] takePending() {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		this.eventsTaken = this.framer.events();
		return bytes;
	}

	/**
	 * Whether the answer has come to its end.
	 */
	boolean responseComplete() {
		return this.responseComplete;
	}

	/**
	 * Notes that the attempt has been ended by the gateway.
	 * @return whether it had not been before
	 */
	boolean markEnded() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	/**
	 * Whether the head of an answer that can be passed on has arrived.
	 */
	boolean hasResponse() {
		return this.response != null;
	}

	/**
	 * Whether the connection can carry another exchange as far as this one tells. The end
	 * of a body is not certain to have been read whole once a read of it timed out.
	 */
	boolean connectionReusable() {
		return !this.timedOut;
	}

	/**
	 * Id of the last whole event.
	 */
	@Nullable String lastEventId() {
		return this.framer.lastEventId();
	}

	/**
	 * Waits for a head of an answer that can be passed on.
	 */
	private boolean awaitHead(long waitMillis) throws IOException {
		if (this.response != null) {
			return true;
		}
		StreamedResponse received = receiveOwnResponse(waitMillis);
		if (received == null) {
			return false;
		}
		ResponseHead head = this.protocol.read(received.head());
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REJECTED;
			bufferBody(received);
			throw new AttemptEndedException(new AttemptResult.NotRun(outcome, true, "status " + received.status()));
		}
		if (this.resumedStream != null) {
			requireResumedStream(received, this.resumedStream);
		}
		else if (received.status() >= HttpStatus.SC_SERVER_ERROR) {
			throw new AttemptEndedException(
					new AttemptResult.Failed(new BufferedUpstreamResponse(received.head(), bufferBody(received))));
		}
		this.response = received;
		return true;
	}

	private byte[] remainingBytes() throws IOException {
		byte[] rest = this.framer.remainingBytes();
		if (rest.length > 0 && (this.resumedStream != null || response().length() == Framing.UNTIL_CLOSE)) {
			throw new IOException("the stream ended within an event");
		}
		if (this.resumedStream != null && this.framer.events() == 0) {
			throw new IOException("the resumed stream ended without an event");
		}
		return rest;
	}

	private void requireResumedStream(StreamedResponse received, StreamProgress progress) throws IOException {
		if (received.status() != HttpStatus.SC_OK) {
			bufferBody(received);
			throw new AttemptEndedException(new AttemptResult.Indeterminate(
					"status " + received.status() + " to a resumed stream", Outcome.FAILED));
		}
		if (!progress.hasSameMediaType(received.head())) {
			throw new IOException("an answer of another type to a resumed stream");
		}
	}

	/**
	 * Reads the head of the answer to this call as far as it arrives. Answers to earlier
	 * calls that come late are skipped.
	 * @return the answer, or null if it has not arrived within the time
	 */
	private @Nullable StreamedResponse receiveOwnResponse(long waitMillis) throws IOException {
		StreamedResponse received = this.connection.receiveWithin(waitMillis);
		if (received == null) {
			return null;
		}
		String id = this.protocol.read(received.head()).callId();
		if (id == null && this.connection.used()) {
			throw new IOException("an answer without an id, which may belong to an earlier call");
		}
		if (id == null || id.equals(this.call.id())) {
			return received;
		}
		bufferBody(received);
		if (++this.strayResponses > MAX_STRAY_RESPONSES) {
			throw new IOException("only answers to other calls");
		}
		return null;
	}

	/**
	 * Reads a body that is not passed on as it comes. A call that may run twice does not
	 * wait long for it.
	 */
	private byte[] bufferBody(StreamedResponse received) throws IOException {
		long leftMillis = Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
		this.connection.setReadDeadline(this.call.route().policy().retryable()
				? Math.min(BUFFERED_BODY_TIMEOUT_MILLIS, leftMillis) : leftMillis);
		byte[] body = received.body().readNBytes(MAX_BUFFERED_BYTES + 1);
		if (body.length > MAX_BUFFERED_BYTES) {
			throw new IOException("body of status " + received.status() + " exceeds " + MAX_BUFFERED_BYTES + " bytes");
		}
		return body;
	}

}
