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
 * One request with an idempotency key. An attempt is sent only after the stored claim
 * names it, and a claim that names another attempt is replaced only after that attempt
 * was fenced.
 */
final class KeyedCall {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ClaimStore store;

	private final CallExecutor executor;

	private final LongSupplier clock;

	private final Call call;

	private final ClaimName name;

	private final AnswerSink sink;

	private final String payloadDigest;

	/** Version of the claim that this request owns or may replace, 0 for none. */
	private long claimVersion;

	private boolean ownsClaim;

	private @Nullable CallAttempt claimedAttempt;

	private @Nullable Claim finishedClaim;

	KeyedCall(ClaimStore store, CallExecutor executor, LongSupplier clock, Call call, ClaimName name, AnswerSink sink) {
		this.store = store;
		this.executor = executor;
		this.clock = clock;
		this.call = call;
		this.name = name;
		this.sink = sink;
		this.payloadDigest = payloadDigest(call);
	}

	private static String payloadDigest(Call call) {
		Call.Target target = call.target();
		String line = (target != null) ? target.method() + " " + target.path() : "";
		return Digests.sha256(line + "\n" + Digests.sha256(call.body()));
	}

	/**
	 * Returns the claim with the answer, or null if this request did not get the answer.
	 */
	@Nullable Claim finishedClaim() {
		return this.finishedClaim;
	}

	CallResult run() throws InterruptedException {
		try {
			return execute();
		}
		catch (ClaimConflictException ex) {
			return this.ownsClaim ? new CallResult.InProgress() : resolve();
		}
		catch (ClaimUnavailableException ex) {
			return new CallResult.NotRun("PLATFORM", RETRY_AFTER_MILLIS);
		}
	}

	private CallResult execute() throws InterruptedException {
		BufferedAnswer answer = new BufferedAnswer(this.sink);
		CallResult result = this.executor.run(this.call, answer, this::writeClaim);
		return switch (result) {
			case CallResult.Answered answered -> recordAnswer(answer.head(), answer.body());
			case CallResult.NotRun notRun when this.ownsClaim ->
				this.store.release(this.name, this.claimVersion) ? notRun : new CallResult.InProgress();
			default -> result;
		};
	}

	private void writeClaim(CallAttempt attempt) {
		Claim claim = new Claim(UUID.randomUUID().toString(), this.payloadDigest, attempt, false, null, null);
		switch (this.store.write(this.name, claim, this.claimVersion)) {
			case ClaimStore.WriteResult.Done written -> {
				this.claimVersion = written.version();
				this.ownsClaim = true;
				this.claimedAttempt = attempt;
			}
			case ClaimStore.WriteResult.Conflict conflict -> throw new ClaimConflictException();
			case ClaimStore.WriteResult.Indeterminate indeterminate -> throw new ClaimUnavailableException();
		}
	}

	/**
	 * Determines the result of a call that another request has claimed.
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
		if (claim.finished() || !claim.payload().equals(this.payloadDigest)) {
			return replay(claim);
		}
		this.claimVersion = found.version();
		this.claimedAttempt = claim.handOver();
		try {
			FenceReply reply = this.executor.fence(claim.handOver(), remainingMillis());
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
				(reply.head() != null) ? recordAnswer(reply.head(), (reply.body() != null) ? reply.body() : new byte[0])
						: new CallResult.Unknown("FINISHED_NOT_KEPT");
			case FORGOTTEN, OTHER_INCARNATION -> new CallResult.Unknown(reply.state().name());
			case NEVER_ADMITTED -> takeOver();
			case null -> new CallResult.Unknown("BROKEN");
		};
	}

	private CallResult takeOver() throws InterruptedException {
		try {
			return execute();
		}
		catch (ClaimConflictException ex) {
			return new CallResult.InProgress();
		}
		catch (ClaimUnavailableException ex) {
			return new CallResult.NotRun("PLATFORM", RETRY_AFTER_MILLIS);
		}
	}

	private CallResult recordAnswer(Frame.@Nullable Head head, byte[] body) {
		CallAttempt runAttempt = this.claimedAttempt;
		if (head == null || runAttempt == null) {
			throw new IllegalStateException("an answer without hand-over");
		}
		byte[] storedBody = (body.length <= Claim.MAX_STORED_BODY_BYTES) ? body : null;
		Claim claim = new Claim(UUID.randomUUID().toString(), this.payloadDigest, runAttempt, true, head, storedBody);
		// Best effort: if it fails, a repeated request fences the attempt, and the agent
		// never runs the call again.
		this.store.write(this.name, claim, this.claimVersion);
		this.finishedClaim = claim;
		this.sink.completeAnswer(head, body);
		return new CallResult.Answered();
	}

	/**
	 * Delivers the answer of a finished claim if the payload is the same and the answer
	 * is stored.
	 */
	CallResult replay(Claim claim) {
		if (!claim.payload().equals(this.payloadDigest)) {
			return new CallResult.KeyReused();
		}
		Frame.Head head = claim.head();
		byte[] body = claim.body();
		this.finishedClaim = claim;
		if (head == null || body == null) {
			return new CallResult.AnsweredNotKept();
		}
		this.sink.completeAnswer(head, body);
		return new CallResult.Answered();
	}

	private long remainingMillis() {
		return Math.max(1, this.call.remainingMillis(this.clock.getAsLong()));
	}

	/**
	 * Buffers an answer until its claim is written.
	 */
	private static final class BufferedAnswer implements AnswerSink {

		private final AnswerSink delegate;

		private Frame.@Nullable Head head;

		private byte[] body = new byte[0];

		BufferedAnswer(AnswerSink delegate) {
			this.delegate = delegate;
		}

		@Override
		public boolean tryReserve(int bytes) {
			return this.delegate.tryReserve(bytes);
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
		public void completeAnswer(Frame.Head answerHead, byte[] answerBody) {
			this.head = answerHead;
			this.body = answerBody;
		}

		@Override
		public boolean started() {
			return this.delegate.started();
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
			super("another request owns the claim", null, false, false);
		}

	}

	private static final class ClaimUnavailableException extends RuntimeException {

		ClaimUnavailableException() {
			super("the store did not confirm the write of the claim", null, false, false);
		}

	}

}
