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
 * One sending of a call to one upstream. It reads the response in steps of bounded time,
 * so that a call can poll two attempts in turn. Confined to the task of the call.
 */
final class Attempt {

	/** Time-out for the body of a response that is not streamed to the caller. */
	private static final long BUFFERED_BODY_TIMEOUT_MILLIS = 500;

	/** Largest body that is read whole before its head is forwarded. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/** Responses to earlier calls that an attempt skips on its connection. */
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
	 * Creates an attempt; its request is sent afterwards on its connection.
	 * @param resumedStream what the caller has received of the stream that this attempt
	 * continues, or null if it begins the response
	 */
	Attempt(Placement placement, ClientConnection connection, CallProtocol protocol, Call call,
			@Nullable StreamProgress resumedStream) {
		this.placement = placement;
		this.connection = connection;
		this.protocol = protocol;
		this.call = call;
		this.resumedStream = resumedStream;
		this.framer = new EventStreamFramer(call.route().policy().retryable(),
				(resumedStream != null) ? resumedStream.lastEventId() : null);
	}

	Placement placement() {
		return this.placement;
	}

	ClientConnection connection() {
		return this.connection;
	}

	/**
	 * Returns the response, whose head must have arrived.
	 */
	StreamedResponse response() {
		if (this.response == null) {
			throw new IllegalStateException("no response has arrived");
		}
		return this.response;
	}

	/**
	 * Waits until something can be forwarded to the caller: a plain response whose body
	 * is complete or too large to be buffered, an event of a stream, or the end of the
	 * stream. A head alone is no progress, since its body may never arrive.
	 * @return whether there is progress; {@link #takePending} returns it
	 * @throws AttemptEndedException if the upstream has not run the call, or failed
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
			this.pending.write(readBuffer(), 0, read(waitMillis));
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
		this.pending.writeBytes(this.responseComplete ? remainingBytes() : this.framer.append(readBuffer(), length));
	}

	/**
	 * Reads what arrives of the body within a time-out.
	 * @return number of bytes, 0 if none arrived
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
	 * Whether the head of a response that can be forwarded has arrived.
	 */
	boolean hasResponse() {
		return this.response != null;
	}

	/**
	 * Whether this exchange leaves the connection usable for another one. After a read
	 * that timed out, the body may not have been read to its end.
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
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REFUSED;
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
		byte[] remaining = this.framer.remainingBytes();
		if (remaining.length > 0 && (this.resumedStream != null || response().length() == Framing.UNTIL_CLOSE)) {
			throw new IOException("the stream ended within an event, after " + remaining.length + " of its bytes");
		}
		if (this.resumedStream != null && this.framer.events() == 0) {
			throw new IOException("the resumed stream ended without an event");
		}
		return remaining;
	}

	private void requireResumedStream(StreamedResponse received, StreamProgress progress) throws IOException {
		if (received.status() != HttpStatus.SC_OK) {
			bufferBody(received);
			throw new AttemptEndedException(new AttemptResult.Indeterminate(
					"status " + received.status() + " to a resumed stream", Outcome.FAILED));
		}
		if (!progress.hasSameMediaType(received.head())) {
			throw new IOException("media type of the response differs from that of the resumed stream");
		}
	}

	/**
	 * Reads the head of the response to this call as far as it arrives. Late responses to
	 * earlier calls are skipped.
	 * @return the response, or null if it has not arrived within the time
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
		if (++this.strayResponses > MAX_STRAY_RESPONSES) {
			throw new IOException(this.strayResponses + " responses to other calls, the last one to " + id);
		}
		return null;
	}

	/**
	 * Reads a body that is not streamed to the caller. A call that may run twice waits
	 * for it only {@value #BUFFERED_BODY_TIMEOUT_MILLIS} ms.
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
