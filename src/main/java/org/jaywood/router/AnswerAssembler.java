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
 * Checks the frames of one call over all its hand-overs. It passes each token on once and
 * in order, and an answer only ends when its count and digest match what was passed on.
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
	 * Index of the next token wanted.
	 */
	int nextIndex() {
		return this.nextIndex;
	}

	/**
	 * Digest of the weights that produced the tokens so far, empty if there are none.
	 */
	String requiredWeightsDigest() {
		return (this.nextIndex > 0) ? this.weightsDigest : "";
	}

	/**
	 * Reads one hand-over's frames to the end of the answer.
	 * @param frames frames of the hand-over
	 * @param model whether a model answers
	 * @throws IOException if the stream breaks or does not match
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
	 * Delivers a whole answer of a plain service that the agent kept.
	 */
	void deliverStored(Frame.Head storedHead, byte[] body) {
		this.sink.wholeAnswer(storedHead, body);
	}

	private boolean acceptFrame(Frame frame, boolean model) throws IOException {
		if (frame.head() != null) {
			acceptHead(frame.head(), model);
		}
		if (this.head == null) {
			throw new IOException("agent stream does not begin with its head");
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
			throw new IOException("engine answered " + next.status());
		}
		if (this.nextIndex > 0 && !this.weightsDigest.equals(next.weights())) {
			throw new IOException("resumed stream is of other weights");
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
			throw new IOException("token " + token.index() + " follows " + (this.nextIndex - 1));
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
		// The end marker of a resumed stream covers the tokens of that hand-over.
		if (end.count() != count || !end.digest().equals(Digests.hex(this.attemptDigest.digest()))) {
			throw new AnswerMismatchException();
		}
		if (model) {
			this.sink.endTokens(count, Digests.hex(this.answerDigest.digest()), this.weightsDigest);
		}
		else {
			this.sink.wholeAnswer(answerHead, this.plainBody.toByteArray());
		}
	}

	/**
	 * The answer exceeds what the router holds for one caller.
	 */
	static final class AnswerTooLargeException extends IOException {

		AnswerTooLargeException() {
			super("answer exceeds what is held for one caller");
		}

	}

	/**
	 * Count or digest of an ended answer differ from what was received. It cannot be
	 * resumed, since any of the tokens before may be wrong.
	 */
	static final class AnswerMismatchException extends IOException {

		AnswerMismatchException() {
			super("count or digest of the answer do not match");
		}

	}

}
