package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Lengths of answers in events, learned from complete ones. Routes that differ in their
 * answers differ in priority or in the length that their callers allow, so calls are told
 * apart by these. Not safe for use by several threads.
 */
final class AnswerLengths {

	/** Used until an answer is complete. */
	private static final double DEFAULT_EVENTS = 16;

	/**
	 * Weight of the latest answer. Lengths of one route vary widely, and a route whose
	 * lengths change is followed within about 20 answers.
	 */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Bound on the kinds; the answers to further ones are taken as of default length. */
	private static final int MAX_KINDS = 256;

	private final Map<Kind, Double> meanEvents = new HashMap<>();

	/**
	 * Returns the expected size of a call.
	 */
	CallSize size(CallRequirements requirements) {
		Kind kind = Kind.of(requirements);
		return new CallSize(kind, requirements.cost().promptTokens(),
				this.meanEvents.getOrDefault(kind, DEFAULT_EVENTS));
	}

	/**
	 * Records a complete answer.
	 */
	void onAnswer(Kind kind, int events) {
		if (this.meanEvents.size() < MAX_KINDS || this.meanEvents.containsKey(kind)) {
			this.meanEvents.merge(kind, (double) events,
					(before, latest) -> before + SMOOTHING_FACTOR * (latest - before));
		}
	}

	/**
	 * Calls whose answers are about as long.
	 *
	 * @param service their service
	 * @param priority their priority
	 * @param outputBits number of bits of the most tokens that their answers may have
	 */
	record Kind(String service, int priority, int outputBits) {

		static Kind of(CallRequirements requirements) {
			return new Kind(requirements.service(), requirements.priority(),
					Integer.SIZE - Integer.numberOfLeadingZeros(requirements.cost().maxOutputTokens()));
		}

	}

}
