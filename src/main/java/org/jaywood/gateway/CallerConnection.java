package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedRequest;
import org.jaywood.http.RequestLimits;
import org.jaywood.http.RequestReader;
import org.jaywood.http.ResponseWriter;
import org.jaywood.routing.RouteTable;
import org.jaywood.wire.BadInputException;

/**
 * Connection of one caller. Its task reads requests and goes on reading while a call is
 * under way, so that it sees at once when the caller leaves; the call runs on a task of
 * its own.
 */
final class CallerConnection implements Runnable {

	/** Wait that shows after a stall whether the caller has left meanwhile. */
	private static final long CALLER_GONE_CHECK_MILLIS = 1;

	/** Last look at a connection whose time is over. */
	private static final long FINAL_POLL_MILLIS = 1;

	/**
	 * Longest wait after which limits and a planned stop are looked at again. It is
	 * shorter than the time between the begin of a stop and the end of idle connections,
	 * so that each connection learns of it before.
	 */
	static final long MAX_POLL_MILLIS = 2_000;

	/**
	 * Shortest rest of a connection during a planned stop: the time that callers allow a
	 * new connection, whose first request may be on its way.
	 */
	private static final long MIN_IDLE_MILLIS = 1_000;

	/** Stands for the begin of a rest while a call is under way. */
	private static final long CALL_IN_PROGRESS = Long.MAX_VALUE;

	/** Time for which a connection is read on after its last answer. */
	private static final long LINGER_MILLIS = 1_000;

	/** Answer to a request on which an unexpected error came before its hand-over. */
	private static final CallFailure INTERNAL_ERROR = new CallFailure.NotRun("internal-error", 1_000);

	private final GatewayContext context;

	private final CallerConnections connections;

	private final Socket socket;

	private final AtomicBoolean busy = new AtomicBoolean();

	private long closeAtMillis = Long.MAX_VALUE;

	private boolean foundOverdue;

	/** Boot time at which the connection became idle. */
	private volatile long idleSinceMillis = BootClock.nowMillis();

	/** Whether a request has been read whole and its answer is not complete. */
	private volatile boolean unanswered;

	/** Why this process ends the connection, or null while it does not. */
	private volatile @Nullable String closeCause;

	private CallerConnection(GatewayContext context, CallerConnections active, Socket socket) {
		this.context = context;
		this.connections = active;
		this.socket = socket;
	}

	/**
	 * Serves a connection that was accepted. It counts as open from now on, before its
	 * task runs.
	 */
	static Thread start(GatewayContext context, CallerConnections active, Socket socket) {
		CallerConnection connection = new CallerConnection(context, active, socket);
		active.add(connection);
		return Thread.ofVirtual().start(connection);
	}

	@Override
	public void run() {
		try (Socket open = this.socket) {
			serveRequests(open);
		}
		catch (IOException ex) {
			this.context.metrics().counter("connection.broken").inc();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(this);
		}
	}

	private void serveRequests(Socket open) throws IOException, InterruptedException {
		RequestReader reader = new RequestReader(open, limits().maxHeaderBytes());
		ResponseWriter writer = new ResponseWriter(open.getOutputStream());
		try {
			boolean more = true;
			while (more) {
				more = serveNext(reader, writer);
			}
		}
		finally {
			reportUnanswered(reader.unreadBytes());
		}
	}

	/**
	 * Reports that this process, not the caller, ends the connection while a request has
	 * no complete answer.
	 */
	private void reportUnanswered(int unreadBytes) {
		String cause = this.closeCause;
		if (cause != null && (this.unanswered || unreadBytes > 0)) {
			this.context.metrics().counter("connection.unanswered").inc();
			this.context.log()
				.log(Event.CONNECTION_ENDED_UNANSWERED, "cause", cause, "read", this.unanswered, "unread", unreadBytes);
		}
	}

	/**
	 * Waits for the first bytes of the next request, through a call that is under way and
	 * the rest behind it. A rest is over only if nothing has arrived after its end, so
	 * that a stall of the process shortens none. The longest idle limit that was in force
	 * since the wait began holds, since the caller may know that one only. No other task
	 * ends an idle connection, so that none can end on bytes that were just read.
	 */
	private RequestReader.Readiness awaitRequest(RequestReader reader) {
		RequestReader.Readiness arrival = RequestReader.Readiness.NOTHING;
		long leftMillis = Long.MAX_VALUE;
		long limitMillis = 0;
		while (arrival == RequestReader.Readiness.NOTHING && leftMillis > 0) {
			limitMillis = Math.max(limitMillis, limits().idleTimeoutMillis());
			leftMillis = idleDeadlineMillis(limitMillis) - BootClock.nowMillis();
			arrival = reader.await(Math.clamp(leftMillis, FINAL_POLL_MILLIS, MAX_POLL_MILLIS));
		}
		if (arrival == RequestReader.Readiness.NOTHING) {
			this.closeCause = this.connections.draining() ? "planned stop" : "idle limit";
		}
		return arrival;
	}

	private long idleDeadlineMillis(long limitMillis) {
		long sinceMillis = this.idleSinceMillis;
		if (sinceMillis == CALL_IN_PROGRESS) {
			return Long.MAX_VALUE;
		}
		long stopMillis = Math.max(this.connections.idleCloseMillis(), sinceMillis + MIN_IDLE_MILLIS);
		return Math.min(sinceMillis + limitMillis, stopMillis);
	}

	private boolean serveNext(RequestReader reader, ResponseWriter writer) throws IOException, InterruptedException {
		if (awaitRequest(reader) != RequestReader.Readiness.BYTES) {
			return false;
		}
		this.busy.set(true);
		try {
			return switch (read(reader)) {
				case Reading.Complete whole -> serve(whole.request(), reader, writer);
				case Reading.Failed failed -> {
					respondAndClose(writer, failed.failure());
					yield false;
				}
				case Reading.CallerGone left -> false;
			};
		}
		finally {
			this.busy.set(false);
		}
	}

	/**
	 * Reads a request. A failure other than the end of the connection is one that the
	 * caller is told of.
	 */
	private Reading read(RequestReader reader) throws IOException {
		try {
			BufferedRequest request = reader.read(limits());
			return (request != null) ? new Reading.Complete(request) : new Reading.CallerGone();
		}
		catch (BadInputException ex) {
			return new Reading.Failed(new CallFailure.ClientError(ex.status(), String.valueOf(ex.getMessage())));
		}
		catch (RuntimeException ex) {
			logReadFailure(ex);
			return new Reading.Failed(new CallFailure.ClientError(HttpStatus.SC_BAD_REQUEST, "malformed request"));
		}
		catch (Error ex) {
			logReadFailure(ex);
			return new Reading.Failed(INTERNAL_ERROR);
		}
	}

	private void logReadFailure(Throwable failure) {
		this.context.log().log(Event.HANDLER_FAILED, "method", "reading", "path", "of a request", "error", failure);
	}

	private boolean serve(BufferedRequest request, RequestReader reader, ResponseWriter writer)
			throws InterruptedException {
		RequestReader.Readiness arrival = RequestReader.Readiness.NOTHING;
		if (this.connections.stallDetector().recentlyStalled(BootClock.nowMillis())) {
			arrival = reader.await(CALLER_GONE_CHECK_MILLIS);
		}
		if (arrival == RequestReader.Readiness.CLOSED) {
			this.context.metrics().counter("call.caller_gone").inc();
			return false;
		}
		this.unanswered = true;
		this.idleSinceMillis = CALL_IN_PROGRESS;
		Cancellation cancellation = new Cancellation();
		CallerResponse reply = new CallerResponse(writer, () -> this.connections.draining() || wantsClose(request));
		Thread call = Thread.ofVirtual().start(() -> handle(request, reply, cancellation));
		if (arrival == RequestReader.Readiness.NOTHING) {
			arrival = awaitRequest(reader);
		}
		if (arrival == RequestReader.Readiness.CLOSED) {
			cancellation.cancel();
		}
		call.join();
		if (arrival == RequestReader.Readiness.BYTES && !reply.connectionReusable()) {
			this.closeCause = "last answer";
		}
		return arrival == RequestReader.Readiness.BYTES && reply.connectionReusable();
	}

	private void handle(BufferedRequest request, CallerResponse reply, Cancellation cancellation) {
		try {
			decideAndRun(request, reply, cancellation);
		}
		catch (CallerGoneException ex) {
			this.unanswered = false;
			this.context.metrics().counter("call.caller_gone").inc();
		}
		catch (RuntimeException | Error ex) {
			logFailure(request, ex);
		}
		finally {
			this.unanswered = this.unanswered && !reply.complete() && !cancellation.cancelled();
			if (!reply.connectionReusable()) {
				closeOutput(reply.complete());
			}
			else {
				this.idleSinceMillis = BootClock.nowMillis();
				this.busy.set(false);
			}
		}
	}

	private void decideAndRun(BufferedRequest request, CallerResponse reply, Cancellation cancellation)
			throws CallerGoneException {
		long nowMillis = BootClock.nowMillis();
		switch (decide(request, nowMillis)) {
			case CallAdmission.Decision.Admitted admitted ->
				serve(admitted.call().withDeadlineAtMost(this.connections.answerDeadlineMillis()), reply, cancellation);
			case CallAdmission.Decision.Refused refused ->
				this.context.errorResponder().respond(reply, callId(request), nowMillis, refused.failure());
		}
	}

	/**
	 * Decides on a request. No upstream has heard of it yet, so an unexpected error is
	 * answered as not run.
	 */
	private CallAdmission.Decision decide(BufferedRequest request, long nowMillis) {
		StoreCache knowledge = this.context.storeCache();
		try {
			return this.connections.admission()
				.decide(request, knowledge.table(), knowledge.confirmedMillis(), nowMillis);
		}
		catch (RuntimeException | Error ex) {
			logFailure(request, ex);
			return new CallAdmission.Decision.Refused(INTERNAL_ERROR);
		}
	}

	private String callId(BufferedRequest request) {
		try {
			return this.context.protocol().read(request.head()).callId();
		}
		catch (RuntimeException ex) {
			// The id is for the log only, and the refusal must still be sent.
			logFailure(request, ex);
			return "";
		}
	}

	private void logFailure(BufferedRequest request, Throwable failure) {
		this.context.log()
			.log(Event.HANDLER_FAILED, "method", request.head().getMethod(), "path", request.head().getRequestUri(),
					"error", failure);
	}

	private void serve(Call call, CallerResponse reply, Cancellation cancellation) {
		closeAt(call.deadlineMillis() + LINGER_MILLIS);
		try {
			new CallTask(this.context, call, reply, cancellation).run();
		}
		finally {
			closeAt(Long.MAX_VALUE);
		}
	}

	/**
	 * Ends the reply side. A complete answer is followed by an orderly close, so that the
	 * caller receives all of it; a partial one is cut.
	 */
	private void closeOutput(boolean complete) {
		try {
			if (complete) {
				this.socket.shutdownOutput();
				closeAt(BootClock.nowMillis() + LINGER_MILLIS);
			}
			else {
				close("incomplete answer");
			}
		}
		catch (IOException ex) {
			this.context.metrics().counter("connection.broken").inc();
		}
	}

	private void respondAndClose(ResponseWriter writer, CallFailure failure) throws IOException {
		CallerResponse reply = new CallerResponse(writer, () -> true);
		this.context.errorResponder().respond(reply, "", BootClock.nowMillis(), failure);
		this.socket.shutdownOutput();
		this.socket.setSoTimeout((int) LINGER_MILLIS);
		this.socket.getInputStream().skip(limits().maxBodyBytes());
	}

	private synchronized void closeAt(long millis) {
		this.closeAtMillis = millis;
		this.foundOverdue = false;
	}

	/**
	 * Closes the connection if its answer is overdue, which is so only while the caller
	 * does not read, or after its last answer. It is closed by the second call that finds
	 * it overdue, since the answer may have been held up by a stall of the process.
	 */
	synchronized void closeIfOverdue(long nowMillis) {
		boolean overdue = nowMillis >= this.closeAtMillis;
		if (overdue && this.foundOverdue) {
			close("overdue answer");
		}
		this.foundOverdue = overdue;
	}

	boolean busy() {
		return this.busy.get();
	}

	private void close(String cause) {
		this.closeCause = cause;
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			this.context.metrics().counter("connection.broken").inc();
		}
	}

	private RequestLimits limits() {
		RouteTable table = this.context.storeCache().table();
		return (table != null) ? table.limits() : RequestLimits.DEFAULTS;
	}

	private static boolean wantsClose(BufferedRequest request) {
		@Nullable String value = headerValue(request, "Connection");
		return value != null && value.equalsIgnoreCase("close");
	}

	private static @Nullable String headerValue(BufferedRequest request, String name) {
		return (request.head().getFirstHeader(name) != null) ? request.head().getFirstHeader(name).getValue() : null;
	}

	/**
	 * What reading a request has brought.
	 */
	private sealed interface Reading {

		/**
		 * The whole request.
		 *
		 * @param request the request
		 */
		record Complete(BufferedRequest request) implements Reading {
		}

		/**
		 * No request that can be served.
		 *
		 * @param failure answer to the caller, behind which the connection ends
		 */
		record Failed(CallFailure failure) implements Reading {
		}

		/** The caller ended the connection before a request. */
		record CallerGone() implements Reading {
		}

	}

}
