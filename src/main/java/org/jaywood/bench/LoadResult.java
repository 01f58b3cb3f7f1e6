package org.jaywood.bench;

/**
 * What a caller got.
 *
 * @param outcome outcome after checking the answer
 * @param firstTokenMicros time to the first token of a streamed answer, 0 if there is
 * none
 * @param wholeMicros time to the end
 * @param reason why the call was not answered, or empty
 */
public record LoadResult(Outcome outcome, long firstTokenMicros, long wholeMicros, String reason) {

	/**
	 * Outcome of a call as its caller sees it.
	 */
	public enum Outcome {

		/** The whole and right answer arrived. */
		ANSWERED,

		/** The reply says that the call was not run. */
		REFUSED,

		/** The reply says that the call may have run. */
		UNKNOWN,

		/** No reply, or only a part of it, arrived. */
		LOST,

		/** A whole answer arrived that is not that of the call. */
		WRONG

	}

}
