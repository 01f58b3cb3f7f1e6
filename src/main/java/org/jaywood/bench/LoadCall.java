package org.jaywood.bench;

/**
 * A request of a caller.
 *
 * @param kind how it is made
 * @param service service that it asks for
 * @param workspace workspace of the caller
 * @param prompt prompt of a model, or name of the booking or page of a plain service
 * @param tokens tokens wanted of a model
 */
public record LoadCall(Kind kind, String service, String workspace, String prompt, int tokens) {

	/**
	 * How a request is made.
	 */
	public enum Kind {

		/** Model, answer as events. */
		STREAM,

		/** Model, answer in one piece. */
		WHOLE,

		/** Plain service, may be repeated. */
		READ,

		/** Plain service by PUT, may be repeated, though not by an HTTP client alone. */
		REPLACE,

		/** Plain service, runs at most once. */
		BOOK

	}

}
