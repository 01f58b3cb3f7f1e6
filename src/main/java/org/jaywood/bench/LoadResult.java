package org.jaywood.bench;

/**
 * Result of a call as its caller sees it.
 *
 * @param outcome outcome after checking the answer
 * @param firstTokenMicros time to the first token of a streamed answer, 0 if there is
 * none
 * @param wholeMicros time to the end of the call
 * @param reason why the call was not answered, or empty
 */
public record LoadResult(Outcome outcome, long firstTokenMicros, long wholeMicros, String reason) {

	/**
	 * Outcome of a call after checking the answer.
	 */
	public enum Outcome {

		/** The complete and correct answer arrived. */
		ANSWERED,

		/** The response says that the call was not run. */
		REFUSED,

		/** The response says that the call may have run. */
		UNKNOWN,

		/**
		 * No response or only a part of it arrived, or an error response without an
		 * outcome.
		 */
		LOST,

		/** A complete answer arrived that is not the answer to this call. */
		WRONG

	}

}
