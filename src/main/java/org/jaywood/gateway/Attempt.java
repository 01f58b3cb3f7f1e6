package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.function.Consumer;

import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.Framing;
import org.jaywood.http.StreamedResponse;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Placement;
import org.jaywood.wire.NotRunStatus;

/**
 * One attempt to run a call at one upstream: reads and checks the response. It reads in
 * steps of bounded time, so that a call can poll two attempts in turn. Used only by the
 * thread of the call's task.
 */
final class Attempt {

	/** Time-out for the body of a response that is not streamed to the caller. */
	private static final long BUFFERED_BODY_TIMEOUT_MILLIS = 500;

	/** Largest body that is read whole before its head is forwarded. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/** Late responses to earlier calls that an attempt skips on its connection. */
	private static final int MAX_LATE_RESPONSES = 2;

	/**
	 * Time after the first event in which an upstream that the call crashes has ended.
	 */
	private static final long PROOF_MILLIS = 250;

	private static final int READ_BUFFER_BYTES = 8 * 1024;

	private final AnswerMemory memory;

	private final Placement placement;

	private final ClientConnection connection;

	private final CallProtocol protocol;

	private final Call call;

	private final @Nullable StreamProgress progressToResume;

	private final Consumer<ResponseHead> headObserver;

	private final EventStreamFramer framer;

	private byte @Nullable [] readBuffer;

	private @Nullable StreamedResponse response;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private int eventsTaken;

	private int lateResponses;

	private boolean responseComplete;

	private boolean timedOut;

	private boolean ended;

	private long firstEventMillis = -1;

	private boolean proven;

	/**
	 * Creates an attempt; its request is sent afterwards on its connection.
	 * @param progressToResume what the caller has received of the stream that this
	 * attempt continues, or null if it begins the response
	 * @param memory memory for the answer; whoever ends the attempt closes it
	 * @param headObserver is told the head of the response to this call
	 */
	Attempt(Placement placement, ClientConnection connection, CallProtocol protocol, Call call,
			@Nullable StreamProgress progressToResume, AnswerMemory memory, Consumer<ResponseHead> headObserver) {
		this.placement = placement;
		this.connection = connection;
		this.protocol = protocol;
		this.call = call;
		this.progressToResume = progressToResume;
		this.memory = memory;
		this.headObserver = headObserver;
		this.framer = new EventStreamFramer(call.route().policy().retryable(),
				(progressToResume != null) ? progressToResume.lastEventId() : call.lastEventId());
	}

	Placement placement() {
		return this.placement;
	}

	ClientConnection connection() {
		return this.connection;
	}

	/**
	 * Returns the memory that the attempt holds of the answer.
	 */
	AnswerMemory memory() {
		return this.memory;
	}

	/**
	 * Returns the response, whose head must have arrived.
	 */
	StreamedResponse response() {
		if (this.response == null) {
			throw new IllegalStateException("no response head has arrived from " + this.connection.address());
		}
		return this.response;
	}

	/**
	 * Waits until something can be forwarded to the caller: a plain response whose body
	 * is complete or too large to be buffered, an event of a stream, or the end of the
	 * stream. A head alone is no progress, since its body may never arrive.
	 * @return whether there is something to forward, or the response is complete;
	 * {@link #takePending} returns what can be forwarded
	 * @throws AttemptEndedException if the upstream responds that it has not run the
	 * call, or that the call failed
	 * @throws IOException if the response breaks off or does not continue the stream
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
			this.pending.write(buffer(), 0, read(waitMillis));
		}
		return hasProgress();
	}

	private boolean hasProgress() {
		return this.responseComplete || this.framer.events() > this.eventsTaken
				|| this.pending.size() > MAX_BUFFERED_BYTES;
	}

	/**
	 * Whether the response is an event stream, whose complete events are forwarded as
	 * they arrive.
	 */
	boolean streaming() {
		return this.call.route().policy().streaming() && response().status() == HttpStatus.SC_OK;
	}

	private void readEvents(long waitMillis) throws IOException {
		int length = read(waitMillis);
		this.pending.writeBytes(this.responseComplete ? bytesAtEnd() : this.framer.append(buffer(), length));
	}

	/**
	 * Reads bytes of the body, waiting for them at most the given time.
	 * @return number of bytes, 0 if none arrived
	 */
	private int read(long waitMillis) throws IOException {
		this.connection.setReadDeadline(waitMillis);
		try {
			int length = readInto(buffer(), response().body(), this.pending.size() + this.framer.bufferedBytes());
			this.responseComplete = length < 0;
			return Math.max(0, length);
		}
		catch (SocketTimeoutException ex) {
			this.timedOut = true;
			return 0;
		}
	}

	/**
	 * Reads bytes for which memory is reserved.
	 * @param heldBytes bytes of the answer that are kept already
	 */
	private int readInto(byte[] bytes, InputStream in, int heldBytes) throws IOException {
		this.memory.beginRead(2L * bytes.length + heldBytes);
		try {
			int length = in.read(bytes);
			this.memory.endRead();
			return length;
		}
		catch (SocketTimeoutException ex) {
			throw ex;
		}
		catch (IOException ex) {
			this.memory.requireKept();
			throw ex;
		}
	}

	private byte[] buffer() {
		byte[] bytes = (this.readBuffer != null) ? this.readBuffer : new byte[READ_BUFFER_BYTES];
		this.readBuffer = bytes;
		return bytes;
	}

	/**
	 * Returns and clears what can be forwarded: complete events, or the bytes of a plain
	 * body so far.
	 */
	byte[] takePending() {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		this.eventsTaken = this.framer.events();
		return bytes;
	}

	/**
	 * Whether the response has been read to its end.
	 */
	boolean responseComplete() {
		return this.responseComplete;
	}

	/**
	 * Marks the attempt as ended by the gateway.
	 * @return whether this is the first time
	 */
	boolean markEnded() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	/**
	 * Whether the upstream is known now to survive this call: it went on for a while
	 * after its first event, or completed its answer.
	 * @return true once, at the time at which it becomes known
	 */
	boolean becomesProven(long nowMillis) {
		if (this.proven || this.framer.events() == 0) {
			return false;
		}
		if (this.firstEventMillis < 0) {
			this.firstEventMillis = nowMillis;
		}
		this.proven = this.responseComplete || nowMillis - this.firstEventMillis >= PROOF_MILLIS;
		return this.proven;
	}

	/**
	 * Whether the call has begun to run, as far as its answer shows: an event of a stream
	 * has arrived, or the head of a plain answer. An error instead of a stream shows
	 * nothing.
	 */
	boolean begun() {
		return this.response != null && (!this.call.route().policy().streaming() || this.framer.events() > 0);
	}

	/**
	 * Returns what has arrived of the answer.
	 */
	AttemptProgress progress() {
		return new AttemptProgress(this.response != null, this.framer.events(), this.proven);
	}

	/**
	 * Whether the head of a response that can be forwarded has arrived.
	 */
	boolean hasResponse() {
		return this.response != null;
	}

	/**
	 * Whether the connection can be used for another exchange. It cannot after a read has
	 * timed out, since a part of the body may still arrive.
	 */
	boolean connectionReusable() {
		return !this.timedOut;
	}

	/**
	 * Returns the id of the last complete event.
	 */
	@Nullable String lastEventId() {
		return this.framer.lastEventId();
	}

	/**
	 * Waits for the head of a response that can be forwarded.
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
		this.headObserver.accept(head);
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REFUSED;
			bufferBody(received);
			throw new AttemptEndedException(new AttemptResult.NotRun(outcome, true, "status " + received.status()));
		}
		if (head.invalidSuccess() != null) {
			throw new IOException(head.invalidSuccess());
		}
		if (this.progressToResume != null) {
			requireContinuation(received, this.progressToResume);
		}
		else if (failed(received.status())) {
			throw new AttemptEndedException(
					new AttemptResult.Failed(new BufferedUpstreamResponse(received.head(), bufferBody(received))));
		}
		this.response = received;
		return true;
	}

	/**
	 * Whether a response that does not state that the call has not run is a failure of
	 * the upstream. A status that would tell the caller so is one: it is no answer, since
	 * the call may have run.
	 */
	private static boolean failed(int status) {
		return status >= HttpStatus.SC_SERVER_ERROR || NotRunStatus.matches(status);
	}

	/**
	 * Returns the bytes after the last event.
	 * @throws IOException if the stream ended too early
	 */
	private byte[] bytesAtEnd() throws IOException {
		byte[] remaining = this.framer.remainingBytes();
		boolean unframed = response().length() == Framing.UNTIL_CLOSE;
		if (remaining.length > 0
				&& (unframed || this.progressToResume != null || StreamProgress.hasEvents(response()))) {
			throw new IOException("the stream ended after " + remaining.length + " bytes of an incomplete event");
		}
		if (unframed && this.framer.events() == 0) {
			throw new IOException("the connection ended before the first event of the stream");
		}
		if (this.progressToResume != null && this.framer.events() == 0) {
			throw new IOException(
					"the resumed stream ended without an event after event id " + this.progressToResume.lastEventId());
		}
		return remaining;
	}

	private void requireContinuation(StreamedResponse received, StreamProgress progress) throws IOException {
		if (received.status() != HttpStatus.SC_OK) {
			bufferBody(received);
			throw new AttemptEndedException(new AttemptResult.Indeterminate(
					"status " + received.status() + " in response to a request to resume a stream", Outcome.FAILED));
		}
		if (!progress.hasSameMediaType(received.head())) {
			throw new IOException("media type of the response differs from that of the resumed stream");
		}
	}

	/**
	 * Waits for the head of the response to this call. Keeps a partial head for the next
	 * call of this method. Late responses to earlier calls are skipped.
	 * @return the response, or null if it has not arrived yet; the method may be called
	 * again
	 */
	private @Nullable StreamedResponse receiveOwnResponse(long waitMillis) throws IOException {
		StreamedResponse received = this.connection.receiveWithin(waitMillis);
		if (received == null) {
			return null;
		}
		String id = this.protocol.read(received.head()).callId();
		if (id == null && this.connection.used()) {
			throw new IOException("response without a call id, which may belong to an earlier call");
		}
		if (id == null || id.equals(this.call.id())) {
			return received;
		}
		bufferBody(received);
		if (++this.lateResponses > MAX_LATE_RESPONSES) {
			throw new IOException(this.lateResponses + " late responses to earlier calls, the last one to " + id);
		}
		return null;
	}

	/**
	 * Reads a body that is not streamed to the caller. For a retryable call, it waits at
	 * most {@value #BUFFERED_BODY_TIMEOUT_MILLIS} ms, since another attempt can be made.
	 */
	private byte[] bufferBody(StreamedResponse received) throws IOException {
		long leftMillis = Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
		this.connection.setReadDeadline(this.call.route().policy().retryable()
				? Math.min(BUFFERED_BODY_TIMEOUT_MILLIS, leftMillis) : leftMillis);
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		int length = readInto(buffer(), received.body(), 0);
		while (length >= 0) {
			body.write(buffer(), 0, length);
			if (body.size() > MAX_BUFFERED_BYTES) {
				throw new IOException(
						"body of status " + received.status() + " exceeds " + MAX_BUFFERED_BYTES + " bytes");
			}
			length = readInto(buffer(), received.body(), body.size());
		}
		return body.toByteArray();
	}

}
