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
	private static final long SIDE_BODY_MILLIS = 500;

	/** Largest body that is read whole before its head is passed on. */
	private static final int BUFFERED_BYTES = 256 * 1024;

	/** Answers to earlier calls that are skipped on one connection. */
	private static final int MAX_STRAY_ANSWERS = 2;

	private static final int CHUNK_BYTES = 8 * 1024;

	private final Placement placement;

	private final ClientConnection connection;

	private final CallProtocol protocol;

	private final Call call;

	private final @Nullable StreamProgress resumed;

	private final EventStreamFramer cutter;

	private byte @Nullable [] chunk;

	private @Nullable StreamedResponse answer;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private int eventsTaken;

	private int strayAnswers;

	private boolean ended;

	private boolean timedOut;

	private boolean settled;

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
		this.resumed = resumed;
		this.cutter = new EventStreamFramer(call.route().policy().retryable(),
				(resumed != null) ? resumed.lastId() : null);
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
	StreamedResponse answer() {
		if (this.answer == null) {
			throw new IllegalStateException("no answer has arrived");
		}
		return this.answer;
	}

	/**
	 * Waits until the caller can be told more: a plain answer whose body is whole or too
	 * large to be held, an event of a stream, or its end. A head alone is no answer,
	 * since what follows may never come.
	 * @return whether it has arrived; {@link #take} gives it
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
			this.pending.write(chunk(), 0, read(waitMillis));
		}
		return hasProgress();
	}

	private boolean hasProgress() {
		return this.ended || this.cutter.events() > this.eventsTaken || this.pending.size() > BUFFERED_BYTES;
	}

	/**
	 * Whether the answer is a stream of events, of which whole ones are passed on as they
	 * come.
	 */
	boolean streaming() {
		return this.call.route().policy().streaming() && answer().status() == HttpStatus.SC_OK;
	}

	private void readEvents(long waitMillis) throws IOException {
		int length = read(waitMillis);
		this.pending.writeBytes(this.ended ? rest() : this.cutter.append(chunk(), length));
	}

	/**
	 * Reads what arrives of the body within a time.
	 * @return number of bytes, 0 if there were none
	 */
	private int read(long waitMillis) throws IOException {
		this.connection.setReadDeadline(waitMillis);
		try {
			int length = answer().body().read(chunk());
			this.ended = length < 0;
			return Math.max(0, length);
		}
		catch (SocketTimeoutException ex) {
			this.timedOut = true;
			return 0;
		}
	}

	private byte[] chunk() {
		byte[] bytes = (this.chunk != null) ? this.chunk : new byte[CHUNK_BYTES];
		this.chunk = bytes;
		return bytes;
	}

	/**
	 * Takes what can be passed on: whole events, or the bytes of a plain body so far.
	 */
	byte[] take() {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		this.eventsTaken = this.cutter.events();
		return bytes;
	}

	/**
	 * Whether the answer has come to its end.
	 */
	boolean ended() {
		return this.ended;
	}

	/**
	 * Notes that the attempt has been ended by the gateway.
	 * @return whether it had not been before
	 */
	boolean markEnded() {
		boolean first = !this.settled;
		this.settled = true;
		return first;
	}

	/**
	 * Whether the head of an answer that can be passed on has arrived.
	 */
	boolean answered() {
		return this.answer != null;
	}

	/**
	 * Whether the connection can carry another exchange as far as this one tells. The end
	 * of a body is not certain to have been read whole once a read of it timed out.
	 */
	boolean leavesConnectionClean() {
		return !this.timedOut;
	}

	/**
	 * Id of the last whole event.
	 */
	@Nullable String lastId() {
		return this.cutter.lastId();
	}

	/**
	 * Waits for a head of an answer that can be passed on.
	 */
	private boolean awaitHead(long waitMillis) throws IOException {
		if (this.answer != null) {
			return true;
		}
		StreamedResponse received = receiveOwn(waitMillis);
		if (received == null) {
			return false;
		}
		ResponseHead head = this.protocol.read(received.head());
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REJECTED;
			readWhole(received);
			throw new AttemptEndedException(new AttemptResult.NotRun(outcome, true, "status " + received.status()));
		}
		if (this.resumed != null) {
			requireResumption(received, this.resumed);
		}
		else if (received.status() >= HttpStatus.SC_SERVER_ERROR) {
			throw new AttemptEndedException(
					new AttemptResult.Failed(new BufferedUpstreamResponse(received.head(), readWhole(received))));
		}
		this.answer = received;
		return true;
	}

	private byte[] rest() throws IOException {
		byte[] rest = this.cutter.rest();
		if (rest.length > 0 && (this.resumed != null || answer().length() == Framing.UNTIL_CLOSE)) {
			throw new IOException("the stream ended within an event");
		}
		if (this.resumed != null && this.cutter.events() == 0) {
			throw new IOException("the resumed stream ended without an event");
		}
		return rest;
	}

	private void requireResumption(StreamedResponse received, StreamProgress progress) throws IOException {
		if (received.status() != HttpStatus.SC_OK) {
			readWhole(received);
			throw new AttemptEndedException(
					new AttemptResult.Broken("status " + received.status() + " to a resumed stream", Outcome.FAILED));
		}
		if (!progress.sameType(received.head())) {
			throw new IOException("an answer of another type to a resumed stream");
		}
	}

	/**
	 * Reads the head of the answer to this call as far as it arrives. Answers to earlier
	 * calls that come late are skipped.
	 * @return the answer, or null if it has not arrived within the time
	 */
	private @Nullable StreamedResponse receiveOwn(long waitMillis) throws IOException {
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
		readWhole(received);
		if (++this.strayAnswers > MAX_STRAY_ANSWERS) {
			throw new IOException("only answers to other calls");
		}
		return null;
	}

	/**
	 * Reads a body that is not passed on as it comes. A call that may run twice does not
	 * wait long for it.
	 */
	private byte[] readWhole(StreamedResponse received) throws IOException {
		long leftMillis = Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
		this.connection.setReadDeadline(
				this.call.route().policy().retryable() ? Math.min(SIDE_BODY_MILLIS, leftMillis) : leftMillis);
		byte[] body = received.body().readNBytes(BUFFERED_BYTES + 1);
		if (body.length > BUFFERED_BYTES) {
			throw new IOException("body of status " + received.status() + " exceeds " + BUFFERED_BYTES + " bytes");
		}
		return body;
	}

}
