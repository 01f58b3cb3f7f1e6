package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedRequest;
import org.jaywood.http.RequestLimits;
import org.jaywood.http.RequestReader;
import org.jaywood.http.ResponseWriter;
import org.jaywood.routing.RouteTable;
import org.jaywood.wire.MemoryReservation;
import org.jaywood.wire.MemoryUse;

/**
 * Connection of one caller. Its task reads requests and continues to read while a call is
 * in progress, so that it detects at once when the caller closes the connection; the call
 * runs on a task of its own.
 */
final class CallerConnection implements Runnable {

	/** Wait after a stall that detects whether the caller has left meanwhile. */
	private static final long CALLER_GONE_CHECK_MILLIS = 1;

	/** Time-out of the last poll of a connection whose idle time-out has passed. */
	private static final long FINAL_POLL_MILLIS = 1;

	/**
	 * Longest wait after which the limits and a graceful shutdown are checked again. It
	 * is shorter than the time between the start of a shutdown and the closing of idle
	 * connections, so that each connection detects the shutdown before.
	 */
	static final long MAX_POLL_MILLIS = 2_000;

	/**
	 * Shortest idle time of a connection during a graceful shutdown: the time that
	 * callers allow for a new connection, whose first request may be in transit.
	 */
	private static final long MIN_IDLE_MILLIS = 1_000;

	/** Time for which an idle connection stays open after it was closed for output. */
	private static final long IDLE_LINGER_MILLIS = 200;

	/** Time before the exit of the process at which its idle connections are closed. */
	private static final long EXIT_CLOSE_MILLIS = 50;

	/** Value of {@link #idleSinceMillis} while a call is in progress. */
	private static final long CALL_IN_PROGRESS = Long.MAX_VALUE;

	/** Time for which a connection is still read after its last response. */
	static final long LINGER_MILLIS = 1_000;

	/**
	 * Heap of a connection at rest: its socket, its task and the buffer of its reader.
	 */
	static final int RESTING_BYTES = 16 * 1024;

	/** The reader detects by itself that its memory was evicted. */
	private static final Runnable EVICTION_ENDS_READING = () -> {
	};

	private final GatewayContext context;

	private final CallerConnections connections;

	private final Socket socket;

	/** Reserved from accept to close, beside the memory of each call. */
	private final MemoryReservation restingMemory;

	private final AtomicBoolean busy = new AtomicBoolean();

	private final OverdueTimer overdueTimer = new OverdueTimer();

	private final RequestHandler handler;

	private final RequestEndLog endLog;

	/** Whether the idle time-out or a graceful shutdown ends the connection. */
	private boolean idleClosed;

	/** Boot time at which the connection became idle. */
	private volatile long idleSinceMillis = BootClock.nowMillis();

	private CallerConnection(GatewayContext context, CallerConnections connections, Socket socket) {
		this.context = context;
		this.connections = connections;
		this.socket = socket;
		this.restingMemory = context.memory().open(MemoryUse.CALLER_CONNECTION);
		this.handler = new RequestHandler(context, connections, this.overdueTimer);
		this.endLog = new RequestEndLog(context, this.handler);
	}

	/**
	 * Serves an accepted connection. It counts as open from now on, before its task runs.
	 * @return the task, or null if the memory budget has no room for the connection
	 */
	static @Nullable Thread tryStart(GatewayContext context, CallerConnections connections, Socket socket) {
		CallerConnection connection = new CallerConnection(context, connections, socket);
		if (!connection.restingMemory.tryReserve(RESTING_BYTES, BootClock.nowMillis())) {
			connection.restingMemory.close();
			return null;
		}
		connections.add(connection);
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
			this.restingMemory.close();
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
			if (this.idleClosed) {
				lingerUnread(open);
			}
		}
		finally {
			this.endLog.onClosed(reader.unreadBytes());
		}
	}

	/**
	 * Closes an idle connection for output and waits for a request that its caller sent
	 * before it could see that. The request stays unread, so that the caller may repeat
	 * it, but it is logged.
	 */
	private void lingerUnread(Socket open) throws IOException, InterruptedException {
		open.shutdownOutput();
		long leftMillis = this.connections.shutdown().exitMillis() - BootClock.nowMillis();
		Thread.sleep(Math.clamp(leftMillis, 0, IDLE_LINGER_MILLIS));
	}

	/**
	 * Logs a request that the end of the process leaves without a complete response.
	 * @return whether there is one, read or not
	 */
	boolean reportProcessEnd() {
		try {
			return this.endLog.onProcessEnd(this.socket.getInputStream().available());
		}
		catch (IOException ex) {
			// The connection has been closed meanwhile, which has its own cause.
			return false;
		}
	}

	/**
	 * Waits for the first bytes of the next request, through a call in progress and the
	 * idle time after it. A connection is closed as idle only if nothing has arrived
	 * after its idle deadline, so that a stall of the process does not shorten the idle
	 * time. The longest idle time-out that was in force since the wait began applies,
	 * since the caller may know only that one. No other task closes an idle connection,
	 * so that none is closed after bytes were just read from it.
	 * @param minIdleTimeoutMillis idle time-out that was in force before the wait
	 */
	private RequestReader.Readiness awaitRequest(RequestReader reader, long minIdleTimeoutMillis) {
		RequestReader.Readiness readiness = RequestReader.Readiness.TIMED_OUT;
		long leftMillis = Long.MAX_VALUE;
		long idleTimeoutMillis = minIdleTimeoutMillis;
		while (readiness == RequestReader.Readiness.TIMED_OUT && leftMillis > 0) {
			idleTimeoutMillis = Math.max(idleTimeoutMillis, limits().idleTimeoutMillis());
			leftMillis = idleDeadlineMillis(idleTimeoutMillis) - BootClock.nowMillis();
			readiness = reader.awaitRequest(Math.clamp(leftMillis, FINAL_POLL_MILLIS, MAX_POLL_MILLIS));
		}
		if (readiness == RequestReader.Readiness.TIMED_OUT) {
			this.endLog.onClosing(this.connections.draining() ? "planned stop" : "idle limit");
			this.idleClosed = true;
		}
		return readiness;
	}

	private long idleDeadlineMillis(long idleTimeoutMillis) {
		long sinceMillis = this.idleSinceMillis;
		if (sinceMillis == CALL_IN_PROGRESS) {
			return Long.MAX_VALUE;
		}
		ShutdownSchedule shutdown = this.connections.shutdown();
		long shutdownMillis = Math.max(shutdown.idleCloseMillis(), sinceMillis + MIN_IDLE_MILLIS);
		boolean crowded = this.connections.crowded() || this.context.memory().crowded();
		long idleMillis = crowded ? MIN_IDLE_MILLIS : idleTimeoutMillis;
		return Math.min(sinceMillis + idleMillis, Math.min(shutdownMillis, shutdown.exitMillis() - EXIT_CLOSE_MILLIS));
	}

	private boolean serveNext(RequestReader reader, ResponseWriter writer) throws IOException, InterruptedException {
		if (awaitRequest(reader, 0) != RequestReader.Readiness.READABLE) {
			return false;
		}
		this.busy.set(true);
		CallerRequest request = this.endLog.onBegin(BootClock.nowMillis());
		try {
			return readAndServe(request, reader, writer);
		}
		catch (CallerGoneException ex) {
			this.endLog.onCallerGone(request, String.valueOf(ex.getMessage()));
			return false;
		}
		finally {
			this.busy.set(false);
		}
	}

	private boolean readAndServe(CallerRequest request, RequestReader reader, ResponseWriter writer)
			throws IOException, InterruptedException {
		Reading reading;
		try (MemoryReservation memory = this.context.memory().open(MemoryUse.REQUEST, EVICTION_ENDS_READING)) {
			reading = Reading.read(reader, limits(), memory, this.context);
			if (reading instanceof Reading.Complete complete) {
				request.onRead(complete.request());
				return serve(request, complete.request(), memory, reader, writer);
			}
		}
		switch (reading) {
			case Reading.Failed failed -> respondAndClose(reader, writer, failed.failure());
			case Reading.CallerGone gone -> this.endLog.onCallerGone(request, gone.error());
			case Reading.Complete complete -> {
			}
		}
		return false;
	}

	private boolean serve(CallerRequest pendingRequest, BufferedRequest request, MemoryReservation memory,
			RequestReader reader, ResponseWriter writer) throws InterruptedException {
		RequestReader.Readiness readiness = RequestReader.Readiness.TIMED_OUT;
		if (this.connections.stallDetector().recentlyStalled(BootClock.nowMillis())) {
			readiness = reader.awaitRequest(CALLER_GONE_CHECK_MILLIS);
		}
		if (readiness == RequestReader.Readiness.CLOSED) {
			this.endLog.onCallerGone(pendingRequest, "closed during a stall of this process");
			return false;
		}
		// Read before the response is sent, since the caller may know no later one.
		long idleTimeoutMillis = limits().idleTimeoutMillis();
		this.idleSinceMillis = CALL_IN_PROGRESS;
		CallerResponse response = new CallerResponse(writer, this.context.protocol()::returns,
				() -> this.connections.draining() || wantsClose(request));
		CountDownLatch ended = startCall(() -> handle(pendingRequest, request, memory, response));
		if (readiness == RequestReader.Readiness.TIMED_OUT) {
			readiness = awaitRequest(reader, idleTimeoutMillis);
		}
		if (readiness == RequestReader.Readiness.CLOSED) {
			pendingRequest.cancellation().cancel();
		}
		ended.await();
		if (readiness == RequestReader.Readiness.READABLE && !response.connectionReusable()) {
			this.endLog.onClosing("last answer");
		}
		return readiness == RequestReader.Readiness.READABLE && response.connectionReusable();
	}

	/**
	 * Runs a call on a thread of its own. A reference to that thread would keep its stack
	 * while the connection rests.
	 * @return a latch that opens when the call has ended
	 */
	private static CountDownLatch startCall(Runnable call) {
		CountDownLatch ended = new CountDownLatch(1);
		Thread.ofVirtual().start(() -> {
			try {
				call.run();
			}
			finally {
				ended.countDown();
			}
		});
		return ended;
	}

	private void handle(CallerRequest pendingRequest, BufferedRequest request, MemoryReservation memory,
			CallerResponse response) {
		Cancellation cancellation = pendingRequest.cancellation();
		try {
			this.handler.handle(request, response, cancellation);
		}
		catch (CallerGoneException ex) {
			this.endLog.onCallerGone(pendingRequest, String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException | Error ex) {
			this.handler.logFailure(request, ex);
		}
		finally {
			if (response.complete()) {
				// The connection may rest for its whole idle time after this.
				request.dropContent();
			}
			memory.close();
			if (response.complete() || cancellation.cancelled() || (response.writeFailed() && !this.endLog.closing())) {
				this.endLog.onEnded();
			}
			if (!response.connectionReusable()) {
				closeOutput(response.complete());
			}
			else {
				this.idleSinceMillis = BootClock.nowMillis();
				this.busy.set(false);
			}
		}
	}

	/**
	 * Closes the connection for output. After a complete response this is an orderly
	 * close, so that the caller receives all of it; after a partial one the connection is
	 * closed at once.
	 */
	private void closeOutput(boolean complete) {
		try {
			if (complete) {
				this.socket.shutdownOutput();
				this.overdueTimer.set(BootClock.nowMillis() + LINGER_MILLIS);
			}
			else {
				close("incomplete answer");
			}
		}
		catch (IOException ex) {
			this.context.metrics().counter("connection.broken").inc();
		}
	}

	/**
	 * Responds to a request that was not read whole. The caller may still send, and may
	 * read only when it has sent all.
	 */
	private void respondAndClose(RequestReader reader, ResponseWriter writer, CallFailure failure) throws IOException {
		CallerResponse response = new CallerResponse(writer, this.context.protocol()::returns, () -> true);
		this.context.errorResponder().respond(response, "", BootClock.nowMillis(), failure);
		this.endLog.onEnded();
		this.socket.shutdownOutput();
		long endMillis = BootClock.nowMillis() + limits().idleTimeoutMillis();
		long leftBytes = limits().maxBodyBytes();
		long droppedBytes;
		do {
			droppedBytes = reader.discard(leftBytes, LINGER_MILLIS);
			leftBytes -= droppedBytes;
		}
		while (droppedBytes > 0 && leftBytes > 0 && BootClock.nowMillis() < endMillis && !this.connections.draining());
	}

	/**
	 * Closes the connection if its response is overdue, which happens only while the
	 * caller does not read, or after the last response.
	 */
	void closeIfOverdue(long nowMillis) {
		if (this.overdueTimer.check(nowMillis)) {
			close("overdue answer");
		}
	}

	boolean busy() {
		return this.busy.get();
	}

	private void close(String cause) {
		this.endLog.onClosing(cause);
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
		Header header = request.head().getFirstHeader(HttpHeaders.CONNECTION);
		return header != null && "close".equalsIgnoreCase(header.getValue());
	}

}
