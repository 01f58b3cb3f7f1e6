package org.jaywood.bench;

/**
 * A call of the load, as a caller makes it.
 *
 * @param kind how the call is made and answered
 * @param service service that is called
 * @param workspace workspace of the caller
 * @param prompt prompt of a model, or name of the booking or page of a plain service
 * @param tokens number of tokens requested from a model, 0 for a plain service
 */
public record LoadCall(Kind kind, String service, String workspace, String prompt, int tokens) {

	/**
	 * How a call is made and answered.
	 */
	public enum Kind {

		/** Call of a model, streamed answer. */
		STREAM,

		/** Call of a model, buffered answer. */
		WHOLE,

		/** GET at a plain service, may be retried. */
		READ,

		/**
		 * PUT at a plain service, may be retried, but an HTTP client does not retry it by
		 * itself.
		 */
		REPLACE,

		/** POST at a plain service, runs at most once. */
		BOOK

	}

}
