package org.jaywood.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.atomic.LongAdder;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Frame;

/**
 * Verifies the frames of one call over all its attempts. It passes each token on once and
 * in order, and completes an answer only if its count and digest match what was passed
 * on.
 */
final class AnswerAssembler {

	private final AnswerSink sink;

	private final LongAdder droppedFrames;

	private final MessageDigest answerDigest = Digests.newSha256();

	private MessageDigest attemptDigest = Digests.newSha256();

	private ByteArrayOutputStream plainBody = new ByteArrayOutputStream(0);

	private Frame.@Nullable Head head;

	private String weightsDigest = "";

	private int nextIndex;

	AnswerAssembler(AnswerSink sink, LongAdder droppedFrames) {
		this.sink = sink;
		this.droppedFrames = droppedFrames;
	}

	/**
	 * Returns the index of the next expected token.
	 */
	int nextIndex() {
		return this.nextIndex;
	}

	/**
	 * Returns the digest of the weights that produced the tokens so far, empty if there
	 * are none.
	 */
	String requiredWeightsDigest() {
		return (this.nextIndex > 0) ? this.weightsDigest : "";
	}

	/**
	 * Reads the frames of one attempt up to the end of the answer.
	 * @param frames frames of the attempt
	 * @param model whether this is a model call
	 * @throws IOException if the stream fails or its frames are invalid
	 */
	void read(FrameReader frames, boolean model) throws IOException {
		this.attemptDigest = Digests.newSha256();
		this.plainBody = new ByteArrayOutputStream();
		this.head = null;
		for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
			if (acceptFrame(frame, model)) {
				return;
			}
		}
		throw new IOException("agent stream ended without its end marker");
	}

	/**
	 * Delivers a complete answer of a plain service that the agent has stored.
	 */
	void deliverStored(Frame.Head storedHead, byte[] body) {
		this.sink.completeAnswer(storedHead, body);
	}

	private boolean acceptFrame(Frame frame, boolean model) throws IOException {
		if (frame.head() != null) {
			acceptHead(frame.head(), model);
		}
		if (this.head == null) {
			throw new IOException("agent stream does not begin with a head frame");
		}
		if (frame.token() != null) {
			acceptToken(frame.token());
		}
		if (frame.data() != null) {
			acceptData(frame.data());
		}
		if (frame.end() != null) {
			acceptEnd(this.head, frame.end(), model);
			return true;
		}
		return false;
	}

	private void acceptHead(Frame.Head next, boolean model) throws IOException {
		if (model && next.status() != 200) {
			throw new IOException("engine responded with status " + next.status() + ", expected 200");
		}
		if (this.nextIndex > 0 && !this.weightsDigest.equals(next.weights())) {
			throw new IOException("resumed stream has weights " + next.weights() + ", expected " + this.weightsDigest);
		}
		this.head = next;
		this.weightsDigest = next.weights();
	}

	private void acceptToken(Frame.Token token) throws IOException {
		if (token.index() < this.nextIndex) {
			this.droppedFrames.increment();
			return;
		}
		if (token.index() > this.nextIndex) {
			throw new IOException("token index " + token.index() + ", expected " + this.nextIndex);
		}
		byte[] text = token.text().getBytes(StandardCharsets.UTF_8);
		if (!this.sink.tryReserve(text.length)) {
			throw new AnswerTooLargeException();
		}
		this.answerDigest.update(text);
		this.attemptDigest.update(text);
		this.nextIndex++;
		this.sink.token(token);
	}

	private void acceptData(byte[] data) throws IOException {
		if (!this.sink.tryReserve(data.length)) {
			throw new AnswerTooLargeException();
		}
		this.plainBody.writeBytes(data);
		this.attemptDigest.update(data);
	}

	private void acceptEnd(Frame.Head answerHead, Frame.End end, boolean model) throws IOException {
		long count = model ? this.nextIndex : this.plainBody.size();
		// The digest in the end marker of a resumed stream covers only the tokens of that
		// attempt.
		if (end.count() != count || !end.digest().equals(Digests.hex(this.attemptDigest.digest()))) {
			throw new AnswerMismatchException();
		}
		if (model) {
			this.sink.endTokens(count, Digests.hex(this.answerDigest.digest()), this.weightsDigest);
		}
		else {
			this.sink.completeAnswer(answerHead, this.plainBody.toByteArray());
		}
	}

	/**
	 * Thrown if the answer exceeds the memory that the router may use for one caller.
	 */
	static final class AnswerTooLargeException extends IOException {

		AnswerTooLargeException() {
			super("answer exceeds the memory for one caller");
		}

	}

	/**
	 * Thrown if the count or digest in the end marker differs from what was received. The
	 * answer cannot be resumed, since any earlier token may be wrong.
	 */
	static final class AnswerMismatchException extends IOException {

		AnswerMismatchException() {
			super("count or digest of the answer does not match");
		}

	}

}
