package org.jaywood.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.Framing;
import org.jaywood.http.UpstreamAnswer;
import org.jaywood.routing.Outcome;
import org.jaywood.routing.Upstream;

/**
 * Sends a call to one upstream and passes its answer on. It tells apart whether the
 * upstream has not run the call, answered it, or may have run it. It never sends the call
 * a second time.
 */
final class HandOver {

	private static final long CONNECT_MILLIS = 300;

	/** Silence before the head after which a repeatable call is tried elsewhere. */
	private static final long REPEATABLE_HEAD_MILLIS = 1_200;

	/** Time for the next event after which a resumable stream is resumed elsewhere. */
	private static final long RESUMABLE_GAP_MILLIS = 1_300;

	/** Stands for the time of an event of which nothing has arrived. */
	private static final long NO_PART = -1;

	/** Interval at which a silent call asks again whether it may be tried elsewhere. */
	private static final long RECHECK_MILLIS = 300;

	/** Largest body that is read whole before its head is passed on. */
	private static final int BUFFERED_BYTES = 256 * 1024;

	/** Answers to earlier calls that are skipped on one connection. */
	private static final int MAX_STRAY_ANSWERS = 2;

	private static final int CHUNK_BYTES = 8 * 1024;

	private final ConnectionPool pool;

	private final CallProtocol protocol;

	private final Call call;

	private final CallerReply reply;

	private final Cancellation cancellation;

	private final EventCutter cutter;

	private final GatewayMetrics metrics;

	private final BooleanSupplier repeatElsewhere;

	/**
	 * Creates a hand-over.
	 * @param repeatElsewhere reserves another attempt, if one is allowed and would get a
	 * place at once
	 */
	HandOver(ConnectionPool pool, CallProtocol protocol, Call call, CallerReply reply, Cancellation cancellation,
			EventCutter cutter, GatewayMetrics metrics, BooleanSupplier repeatElsewhere) {
		this.pool = pool;
		this.protocol = protocol;
		this.call = call;
		this.reply = reply;
		this.cancellation = cancellation;
		this.cutter = cutter;
		this.metrics = metrics;
		this.repeatElsewhere = repeatElsewhere;
	}

	/**
	 * Runs the hand-over.
	 * @param upstream the upstream
	 * @param weights the only version that may run the call, if that matters
	 */
	HandOverResult run(Upstream upstream, OptionalLong weights) {
		ClientConnection connection;
		try {
			connection = this.pool.acquire(upstream.address(), Math.min(CONNECT_MILLIS, remainingMillis()));
		}
		catch (ConnectionException ex) {
			return new HandOverResult.NotRun(Outcome.UNREACHABLE, false, String.valueOf(ex.getMessage()));
		}
		this.cancellation.attach(connection);
		boolean reusable = false;
		try {
			HandOverResult result = exchange(connection, upstream, weights);
			reusable = result instanceof HandOverResult.Delivered || result instanceof HandOverResult.Failed
					|| result instanceof HandOverResult.NotRun;
			return result;
		}
		catch (CallerGoneException ex) {
			return new HandOverResult.CallerGone();
		}
		catch (IOException ex) {
			if (this.cancellation.cancelled()) {
				return new HandOverResult.CallerGone();
			}
			return new HandOverResult.Broken(String.valueOf(ex.getMessage()), Outcome.BROKEN);
		}
		finally {
			this.cancellation.detach();
			if (reusable && !this.cancellation.cancelled()) {
				this.pool.release(connection);
			}
			else {
				connection.abort();
			}
		}
	}

	private HandOverResult exchange(ClientConnection connection, Upstream upstream, OptionalLong weights)
			throws IOException {
		if (this.cancellation.cancelled()) {
			return new HandOverResult.CallerGone();
		}
		connection.send(request(upstream, weights), this.call.request().body());
		UpstreamAnswer answer = receiveOwn(connection);
		AnswerHead head = this.protocol.read(answer.head());
		if (head.misdirected() || head.notRun()) {
			Outcome outcome = head.misdirected() ? Outcome.MISDIRECTED : Outcome.REJECTED;
			readWhole(answer);
			return new HandOverResult.NotRun(outcome, true, "status " + answer.status());
		}
		if (this.reply.begun()) {
			return resume(connection, answer);
		}
		if (answer.status() >= HttpStatus.SC_SERVER_ERROR) {
			return new HandOverResult.Failed(new BufferedAnswer(answer.head(), readWhole(answer)));
		}
		return deliver(connection, answer);
	}

	/**
	 * Waits for the begin of the answer.
	 * @throws IOException if the call is to be tried elsewhere, or its time is over
	 */
	private void awaitAnswer(ClientConnection connection) throws IOException {
		long waitMillis = silenceMillis(REPEATABLE_HEAD_MILLIS);
		while (!connection.awaitBytes(Math.min(waitMillis, remainingMillis()))) {
			onSilence();
			waitMillis = RECHECK_MILLIS;
		}
	}

	/**
	 * Reads the next part of a stream.
	 * @return number of bytes, or -1 at the end
	 * @throws IOException if the call is to be tried elsewhere, or its time is over
	 */
	private int readPart(ClientConnection connection, InputStream body, byte[] part) throws IOException {
		long waitMillis = silenceMillis(RESUMABLE_GAP_MILLIS);
		while (true) {
			connection.limit(Math.min(waitMillis, remainingMillis()));
			try {
				return body.read(part);
			}
			catch (SocketTimeoutException ex) {
				onSilence();
				waitMillis = RECHECK_MILLIS;
			}
		}
	}

	/**
	 * Decides what a silent upstream means. It keeps its call for as long as the call
	 * cannot be tried elsewhere, since it may be running it.
	 * @throws IOException if the call is to be tried elsewhere, or its time is over
	 */
	private void onSilence() throws IOException {
		if (this.call.remainingMillis(BootClock.nowMillis()) <= 0) {
			throw new IOException("no answer within the time of the call");
		}
		if (this.call.route().policy().repeatable() && this.repeatElsewhere.getAsBoolean()) {
			throw new IOException("silent, tried elsewhere");
		}
	}

	private long silenceMillis(long repeatableMillis) {
		return this.call.route().policy().repeatable() ? repeatableMillis : remainingMillis();
	}

	/**
	 * Reads the answer to this call. Answers to earlier calls that come late are skipped.
	 */
	private UpstreamAnswer receiveOwn(ClientConnection connection) throws IOException {
		awaitAnswer(connection);
		long untilMillis = BootClock.nowMillis() + headTimeoutMillis();
		for (int stray = 0; stray <= MAX_STRAY_ANSWERS; stray++) {
			UpstreamAnswer answer = connection.receive(untilMillis - BootClock.nowMillis());
			String id = this.protocol.read(answer.head()).callId();
			if (id == null && connection.used()) {
				throw new IOException("an answer without an id, which may belong to an earlier call");
			}
			if (id == null || id.equals(this.call.id())) {
				return answer;
			}
			readWhole(answer);
		}
		throw new IOException("only answers to other calls");
	}

	private HandOverResult deliver(ClientConnection connection, UpstreamAnswer answer) throws IOException {
		if (this.call.route().policy().streaming() && answer.status() == HttpStatus.SC_OK) {
			this.metrics.firstByte(BootClock.nowMillis() - this.call.arrivedMillis());
			this.reply.begin(answer.head());
			return copyEvents(connection, answer);
		}
		connection.limit(remainingMillis());
		byte[] body = readUpTo(answer, BUFFERED_BYTES);
		if (body.length <= BUFFERED_BYTES) {
			this.metrics.firstByte(BootClock.nowMillis() - this.call.arrivedMillis());
			this.reply.pass(new BufferedAnswer(answer.head(), body));
			return new HandOverResult.Delivered(answer.status());
		}
		this.reply.begin(answer.head());
		this.reply.write(body, body.length);
		copyRest(answer);
		this.reply.finish();
		return new HandOverResult.Delivered(answer.status());
	}

	/**
	 * Passes on whole events only, so that another engine can go on behind the last one.
	 */
	private HandOverResult copyEvents(ClientConnection connection, UpstreamAnswer answer) throws IOException {
		byte[] chunk = new byte[CHUNK_BYTES];
		long partSinceMillis = NO_PART;
		while (true) {
			int length = readPart(connection, answer.body(), chunk);
			if (length < 0) {
				break;
			}
			byte[] whole = this.cutter.append(chunk, length);
			if (!this.cutter.continuous()) {
				throw new IOException("the resumed stream does not go on behind event " + this.cutter.resumedAfter());
			}
			long nowMillis = BootClock.nowMillis();
			if (whole.length > 0) {
				this.reply.write(whole, whole.length);
				partSinceMillis = NO_PART;
			}
			else if (partSinceMillis == NO_PART) {
				partSinceMillis = nowMillis;
			}
			else if (nowMillis - partSinceMillis > silenceMillis(RESUMABLE_GAP_MILLIS)) {
				throw new IOException("an event that does not end");
			}
		}
		byte[] rest = this.cutter.rest();
		if (rest.length > 0 && answer.length() == Framing.UNTIL_CLOSE) {
			throw new IOException("the connection ended within an event");
		}
		this.reply.write(rest, rest.length);
		this.reply.finish();
		return new HandOverResult.Delivered(answer.status());
	}

	private HandOverResult resume(ClientConnection connection, UpstreamAnswer answer) throws IOException {
		if (answer.status() != HttpStatus.SC_OK) {
			readWhole(answer);
			return new HandOverResult.Broken("status " + answer.status() + " to a resumed stream", Outcome.FAILED);
		}
		return copyEvents(connection, answer);
	}

	private void copyRest(UpstreamAnswer answer) throws IOException {
		byte[] chunk = new byte[CHUNK_BYTES];
		while (true) {
			int length = answer.body().read(chunk);
			if (length < 0) {
				return;
			}
			this.reply.write(chunk, length);
		}
	}

	private byte[] readWhole(UpstreamAnswer answer) throws IOException {
		byte[] body = readUpTo(answer, BUFFERED_BYTES);
		if (body.length > BUFFERED_BYTES) {
			throw new IOException("body of status " + answer.status() + " exceeds " + BUFFERED_BYTES + " bytes");
		}
		return body;
	}

	private static byte[] readUpTo(UpstreamAnswer answer, int limitBytes) throws IOException {
		return answer.body().readNBytes(limitBytes + 1);
	}

	private ClassicHttpRequest request(Upstream upstream, OptionalLong weights) {
		ClassicHttpRequest original = this.call.request().head();
		ClassicHttpRequest request = new BasicClassicHttpRequest(original.getMethod(), original.getRequestUri());
		Header connection = original.getFirstHeader(HttpHeaders.CONNECTION);
		String named = (connection != null) ? connection.getValue().toLowerCase(Locale.ROOT) : "";
		for (Header header : original.getHeaders()) {
			String name = header.getName();
			boolean hop = CallerReply.concernsConnection(name)
					|| (!named.isEmpty() && isListed(named, name.toLowerCase(Locale.ROOT)));
			if (!hop && !name.equalsIgnoreCase(HttpHeaders.EXPECT)
					&& this.protocol.forwards(name, this.call.keysRequired())) {
				request.addHeader(header);
			}
		}
		this.protocol.write(request, new HandOverHead(upstream.id(), weights, remainingMillis(), workspaceName(),
				this.call.urgency(), this.reply.begun() ? this.cutter.lastId() : null));
		return request;
	}

	private static boolean isListed(String list, String name) {
		return Arrays.stream(list.split(",")).map(String::strip).anyMatch(name::equals);
	}

	private @Nullable String workspaceName() {
		return (this.call.workspace() != null) ? this.call.workspace().name() : null;
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(BootClock.nowMillis()));
	}

	private long headTimeoutMillis() {
		return Math.min(silenceMillis(REPEATABLE_HEAD_MILLIS), remainingMillis());
	}

}
