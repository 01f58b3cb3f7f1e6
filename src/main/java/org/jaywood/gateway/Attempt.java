package org.jaywood.gateway;

import java.io.IOException;
import java.net.SocketTimeoutException;

import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.Framing;
import org.jaywood.http.UpstreamAnswer;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;

/**
 * One sending of a call to one upstream. It reads the answer in steps of bounded time, so
 * that a call can listen to two attempts in turn. Used by the task of the call.
 */
final class Attempt {

	/** Longest time between the first byte of a head and its end. */
	private static final long HEAD_MILLIS = 1_200;

	/** Largest body that is read whole before its head is passed on. */
	private static final int BUFFERED_BYTES = 256 * 1024;

	/** Answers to earlier calls that are skipped on one connection. */
	private static final int MAX_STRAY_ANSWERS = 2;

	private static final int CHUNK_BYTES = 8 * 1024;

	private static final byte[] NOTHING = new byte[0];

	private final Placement placement;

	private final ClientConnection connection;

	private final CallProtocol protocol;

	private final Call call;

	private final @Nullable StreamProgress resumed;

	private final EventCutter cutter;

	private byte @Nullable [] chunk;

	private @Nullable UpstreamAnswer answer;

	private byte[] pending = NOTHING;

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
		this.resumed = resumed;
		this.cutter = new EventCutter(call.route().policy().repeatable(), (resumed != null) ? resumed.lastId() : null);
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
	UpstreamAnswer answer() {
		if (this.answer == null) {
			throw new IllegalStateException("no answer has arrived");
		}
		return this.answer;
	}

	/**
	 * Waits for an answer that can be passed on.
	 * @return whether its head has arrived
	 * @throws AttemptEndedException if the upstream has not run the call, or failed
	 * @throws IOException if the connection breaks
	 */
	boolean awaitAnswer(long waitMillis) throws IOException {
		if (this.answer != null) {
			return true;
		}
		if (!this.connection.awaitBytes(waitMillis)) {
			return false;
		}
		UpstreamAnswer received = receiveOwn();
		AnswerHead head = this.protocol.read(received.head());
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REJECTED;
			readWhole(received);
			throw new AttemptEndedException(new HandOverResult.NotRun(outcome, true, "status " + received.status()));
		}
		if (this.resumed != null) {
			requireResumption(received, this.resumed);
		}
		else if (received.status() >= HttpStatus.SC_SERVER_ERROR) {
			throw new AttemptEndedException(
					new HandOverResult.Failed(new BufferedAnswer(received.head(), readWhole(received))));
		}
		this.answer = received;
		return true;
	}

	/**
	 * Waits for events of a stream.
	 * @return the whole events that have arrived, possibly none
	 * @throws AttemptEndedException if the upstream has not run the call, or failed
	 * @throws IOException if the stream breaks or does not go on as it should
	 */
	byte[] awaitEvents(long waitMillis) throws IOException {
		if (this.pending.length > 0) {
			byte[] events = this.pending;
			this.pending = NOTHING;
			return events;
		}
		if (!awaitAnswer(waitMillis)) {
			return NOTHING;
		}
		byte[] bytes = (this.chunk != null) ? this.chunk : new byte[CHUNK_BYTES];
		this.chunk = bytes;
		this.connection.limit(waitMillis);
		try {
			int length = answer().body().read(bytes);
			this.ended = length < 0;
			return this.ended ? rest() : this.cutter.append(bytes, length);
		}
		catch (SocketTimeoutException ex) {
			return NOTHING;
		}
	}

	/**
	 * Waits for the next whole event and keeps it for {@link #awaitEvents}.
	 * @return whether one has arrived
	 * @throws IOException as {@link #awaitEvents}
	 */
	boolean awaitNextEvent(long waitMillis) throws IOException {
		this.pending = awaitEvents(waitMillis);
		return this.pending.length > 0;
	}

	/**
	 * Whether the stream has come to its end.
	 */
	boolean ended() {
		return this.ended;
	}

	/**
	 * Id of the last whole event.
	 */
	@Nullable String lastId() {
		return this.cutter.lastId();
	}

	/**
	 * Reads a body whole if it is not large.
	 * @return the body, or its first bytes, which are more than may be held
	 */
	byte[] readBuffered(long timeoutMillis) throws IOException {
		this.connection.limit(timeoutMillis);
		return readUpTo(answer(), BUFFERED_BYTES);
	}

	/**
	 * Whether bytes are the whole of a body that was read by {@link #readBuffered}.
	 */
	static boolean whole(byte[] body) {
		return body.length <= BUFFERED_BYTES;
	}

	private byte[] rest() throws IOException {
		byte[] rest = this.cutter.rest();
		if (rest.length > 0 && (this.resumed != null || answer().length() == Framing.UNTIL_CLOSE)) {
			throw new IOException("the stream ended within an event");
		}
		if (this.resumed != null && !this.cutter.eventSeen()) {
			throw new IOException("the resumed stream ended without an event");
		}
		return rest;
	}

	private static void requireResumption(UpstreamAnswer received, StreamProgress progress) throws IOException {
		if (received.status() != HttpStatus.SC_OK) {
			readWhole(received);
			throw new AttemptEndedException(
					new HandOverResult.Broken("status " + received.status() + " to a resumed stream", Outcome.FAILED));
		}
		if (!progress.sameType(received.head())) {
			throw new IOException("an answer of another type to a resumed stream");
		}
	}

	/**
	 * Reads the answer to this call. Answers to earlier calls that come late are skipped.
	 */
	private UpstreamAnswer receiveOwn() throws IOException {
		long nowMillis = BootClock.nowMillis();
		long untilMillis = nowMillis + headMillis(nowMillis);
		for (int stray = 0; stray <= MAX_STRAY_ANSWERS; stray++) {
			UpstreamAnswer received = this.connection.receive(untilMillis - BootClock.nowMillis());
			String id = this.protocol.read(received.head()).callId();
			if (id == null && this.connection.used()) {
				throw new IOException("an answer without an id, which may belong to an earlier call");
			}
			if (id == null || id.equals(this.call.id())) {
				return received;
			}
			readWhole(received);
		}
		throw new IOException("only answers to other calls");
	}

	private long headMillis(long nowMillis) {
		long leftMillis = Math.max(1, this.call.remainingMillis(nowMillis));
		return this.call.route().policy().repeatable() ? Math.min(HEAD_MILLIS, leftMillis) : leftMillis;
	}

	private static byte[] readWhole(UpstreamAnswer received) throws IOException {
		byte[] body = readUpTo(received, BUFFERED_BYTES);
		if (!whole(body)) {
			throw new IOException("body of status " + received.status() + " exceeds " + BUFFERED_BYTES + " bytes");
		}
		return body;
	}

	private static byte[] readUpTo(UpstreamAnswer received, int limitBytes) throws IOException {
		return received.body().readNBytes(limitBytes + 1);
	}

}
