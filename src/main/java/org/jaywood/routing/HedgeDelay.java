package org.jaywood.routing;

import java.util.OptionalLong;

/**
 * When a call at a silent upstream gets a hedged attempt: early enough for the second
 * upstream to answer within the time of the call, and earlier still if all attempts at
 * the first one have gone quiet. An upstream that goes on with other calls is likely to
 * come to this one too.
 */
public final class HedgeDelay {

	/** Longest silence before the answer to a call without a stream. */
	private static final long MAX_PLAIN_MILLIS = 1_200;

	/**
	 * Longest silence of a stream. Callers abandon a silent stream after two seconds at
	 * the earliest.
	 */
	private static final long MAX_STREAM_MILLIS = 1_500;

	/**
	 * Longest silence of a VM after which its calls are given up. What is left of the two
	 * seconds is for one more wait in the queue.
	 */
	private static final long MAX_SILENT_VM_MILLIS = 1_500;

	/** Share of the time left after which a call on a silent VM is given up. */
	private static final double SILENT_VM_TIME_LEFT_SHARE = 2 / 3.0;

	/** Shortest silence; many sound answers take as long. */
	private static final long MIN_MILLIS = 250;

	/**
	 * Share of the time left after which a hedge is due, so that most of it is left for
	 * the second attempt.
	 */
	private static final double TIME_LEFT_SHARE = 1 / 3.0;

	/** Share of the time left until the target, for a call at a quiet upstream. */
	private static final double TARGET_LEFT_SHARE = 1 / 2.0;

	private HedgeDelay() {
	}

	/**
	 * Returns the silence in milliseconds from which the answer to a call that has not
	 * begun is hedged, empty if the call must not run twice or too little time is left
	 * for a second attempt.
	 * @param quiet whether all attempts at its upstream have gone quiet
	 * @param timeLeftMillis time left until the deadline of the call
	 * @param targetLeftMillis time left until its target, not positive after it
	 */
	public static OptionalLong beforeAnswerMillis(RetryPolicy policy, boolean quiet, long timeLeftMillis,
			long targetLeftMillis) {
		if (!policy.retryable() || timeLeftMillis < 2 * MIN_MILLIS) {
			return OptionalLong.empty();
		}
		long maxMillis = policy.streaming() ? MAX_STREAM_MILLIS : MAX_PLAIN_MILLIS;
		double byDeadlineMillis = timeLeftMillis * TIME_LEFT_SHARE;
		double byTargetMillis = (quiet && targetLeftMillis > 0) ? targetLeftMillis * TARGET_LEFT_SHARE : maxMillis;
		long delayMillis = Math.round(Math.min(byDeadlineMillis, byTargetMillis));
		return OptionalLong.of(Math.clamp(delayMillis, MIN_MILLIS, maxMillis));
	}

	/**
	 * Returns the silence in milliseconds from which a call at a VM from which nothing
	 * comes, reports of its agent included, is not worth waiting for: its caller can
	 * still try again.
	 * @param timeLeftMillis time left until the deadline of the call when it fell silent
	 */
	public static long giveUpMillis(RetryPolicy policy, long timeLeftMillis) {
		long byDeadlineMillis = Math.round(timeLeftMillis * SILENT_VM_TIME_LEFT_SHARE);
		return policy.streaming() ? MAX_SILENT_VM_MILLIS : Math.min(byDeadlineMillis, MAX_SILENT_VM_MILLIS);
	}

	/**
	 * Returns the silence in milliseconds from which an answer that has begun is resumed
	 * elsewhere, empty if it cannot be. The second upstream has to prepare the whole
	 * stream, so a silence that is likely to end first is waited for.
	 */
	public static OptionalLong withinAnswerMillis(RetryPolicy policy) {
		return (policy == RetryPolicy.RESUMABLE_STREAM) ? OptionalLong.of(MAX_STREAM_MILLIS) : OptionalLong.empty();
	}

}
