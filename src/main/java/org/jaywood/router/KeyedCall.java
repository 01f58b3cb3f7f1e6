package org.jaywood.router;

import java.io.IOException;
import java.util.UUID;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.PlatformException;
import org.jaywood.wire.Digests;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.Frame;

/**
 * One request under an idempotency key. A hand-over is only made while the claim names
 * it, and a claim of another hand-over is replaced only after that one was fenced.
 */
final class KeyedCall {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ClaimStore store;

	private final CallExecutor handOvers;

	private final LongSupplier clock;

	private final Call call;

	private final ClaimName name;

	private final AnswerSink sink;

	private final String payload;

	/** Version of the claim that this request holds or may replace, 0 for none. */
	private long version;

	private boolean holding;

	private @Nullable CallAttempt handOver;

	private @Nullable Claim finished;

	KeyedCall(ClaimStore store, CallExecutor handOvers, LongSupplier clock, Call call, ClaimName name,
			AnswerSink sink) {
		this.store = store;
		this.handOvers = handOvers;
		this.clock = clock;
		this.call = call;
		this.name = name;
		this.sink = sink;
		this.payload = payloadDigest(call);
	}

	private static String payloadDigest(Call call) {
		Call.Target target = call.target();
		String line = (target != null) ? target.method() + " " + target.path() : "";
		return Digests.sha256(line + "\n" + Digests.sha256(call.body()));
	}

	/**
	 * Claim with the answer, if this request learned it.
	 */
	@Nullable Claim finished() {
		return this.finished;
	}

	CallResult run() throws InterruptedException {
		try {
			return handOver();
		}
		catch (ClaimConflictException ex) {
			return this.holding ? new CallResult.InProgress() : resolve();
		}
		catch (ClaimUnavailableException ex) {
			return new CallResult.NotRun("PLATFORM", RETRY_AFTER_MILLIS);
		}
	}

	private CallResult handOver() throws InterruptedException {
		KeptAnswer answer = new KeptAnswer(this.sink);
		CallResult result = this.handOvers.run(this.call, answer, this::claim);
		return switch (result) {
			case CallResult.Answered answered -> finish(answer.head(), answer.body());
			case CallResult.NotRun notRun when this.holding ->
				this.store.release(this.name, this.version) ? notRun : new CallResult.InProgress();
			default -> result;
		};
	}

	private void claim(CallAttempt next) {
		Claim claim = new Claim(UUID.randomUUID().toString(), this.payload, next, false, null, null);
		switch (this.store.write(this.name, claim, this.version)) {
			case ClaimStore.Written.Done done -> {
				this.version = done.version();
				this.holding = true;
				this.handOver = next;
			}
			case ClaimStore.Written.Conflict conflict -> throw new ClaimConflictException();
			case ClaimStore.Written.Uncertain uncertain -> throw new ClaimUnavailableException();
		}
	}

	/**
	 * Finds out what became of a call that another request claimed.
	 */
	private CallResult resolve() throws InterruptedException {
		ClaimStore.Versioned found;
		try {
			found = this.store.read(this.name);
		}
		catch (PlatformException ex) {
			return new CallResult.InProgress();
		}
		Claim claim = found.claim();
		if (claim.finished() || !claim.payload().equals(this.payload)) {
			return replay(claim);
		}
		this.version = found.version();
		this.handOver = claim.handOver();
		try {
			FenceReply reply = this.handOvers.fence(claim.handOver(), remainingMillis());
			return resolve(reply);
		}
		catch (IOException ex) {
			return new CallResult.Unknown("AGENT_UNREACHABLE");
		}
	}

	private CallResult resolve(FenceReply reply) throws InterruptedException {
		return switch (reply.state()) {
			case RUNNING -> new CallResult.InProgress();
			case FINISHED ->
				(reply.head() != null) ? finish(reply.head(), (reply.body() != null) ? reply.body() : new byte[0])
						: new CallResult.Unknown("FINISHED_NOT_KEPT");
			case FORGOTTEN, OTHER_INCARNATION -> new CallResult.Unknown(reply.state().name());
			case NEVER_ADMITTED -> takeOver();
			case null -> new CallResult.Unknown("BROKEN");
		};
	}

	private CallResult takeOver() throws InterruptedException {
		try {
			return handOver();
		}
		catch (ClaimConflictException ex) {
			return new CallResult.InProgress();
		}
		catch (ClaimUnavailableException ex) {
			return new CallResult.NotRun("PLATFORM", RETRY_AFTER_MILLIS);
		}
	}

	private CallResult finish(Frame.@Nullable Head head, byte[] body) {
		CallAttempt ran = this.handOver;
		if (head == null || ran == null) {
			throw new IllegalStateException("an answer without hand-over");
		}
		byte[] kept = (body.length <= Claim.MAX_STORED_BODY_BYTES) ? body : null;
		Claim claim = new Claim(UUID.randomUUID().toString(), this.payload, ran, true, head, kept);
		// Best effort: without it, a repeat asks the agent, which never runs it again.
		this.store.write(this.name, claim, this.version);
		this.finished = claim;
		this.sink.wholeAnswer(head, body);
		return new CallResult.Answered();
	}

	/**
	 * Answers from a finished claim.
	 */
	CallResult replay(Claim claim) {
		if (!claim.payload().equals(this.payload)) {
			return new CallResult.KeyReused();
		}
		Frame.Head head = claim.head();
		byte[] body = claim.body();
		this.finished = claim;
		if (head == null || body == null) {
			return new CallResult.AnsweredNotKept();
		}
		this.sink.wholeAnswer(head, body);
		return new CallResult.Answered();
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(this.clock.getAsLong()));
	}

	/**
	 * Keeps an answer until it is recorded.
	 */
	private static final class KeptAnswer implements AnswerSink {

		private final AnswerSink next;

		private Frame.@Nullable Head head;

		private byte[] body = new byte[0];

		KeptAnswer(AnswerSink next) {
			this.next = next;
		}

		@Override
		public boolean tryReserve(int bytes) {
			return this.next.tryReserve(bytes);
		}

		@Override
		public void token(Frame.Token token) {
			throw new IllegalStateException("keyed calls go to plain services");
		}

		@Override
		public void endTokens(long count, String digest, String weights) {
			throw new IllegalStateException("keyed calls go to plain services");
		}

		@Override
		public void wholeAnswer(Frame.Head answerHead, byte[] answerBody) {
			this.head = answerHead;
			this.body = answerBody;
		}

		@Override
		public boolean started() {
			return this.next.started();
		}

		Frame.@Nullable Head head() {
			return this.head;
		}

		byte[] body() {
			return this.body;
		}

	}

	private static final class ClaimConflictException extends RuntimeException {

		ClaimConflictException() {
			super("another claim is in force", null, false, false);
		}

	}

	private static final class ClaimUnavailableException extends RuntimeException {

		ClaimUnavailableException() {
			super("the platform does not answer", null, false, false);
		}

	}

}
