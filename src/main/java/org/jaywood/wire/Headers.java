package org.jaywood.wire;

/**
 * Names of the HTTP headers that processes exchange.
 */
public final class Headers {

	/** Random id of the sending process, new at each start. */
	public static final String INCARNATION = "Jaywood-Incarnation";

	/** Configuration generation in force at the sender. */
	public static final String GENERATION = "Jaywood-Generation";

	/** Digest of the configuration in force at the sender. */
	public static final String DIGEST = "Jaywood-Digest";

	/** Shared credential of the processes. */
	public static final String CREDENTIAL = "Jaywood-Credential";

	/** Peer address of the sender, by which the receiver can reach it. */
	public static final String SENDER = "Jaywood-Sender";

	/** Id of a caller's request. */
	public static final String REQUEST_ID = "Jaywood-Request-Id";

	/** Number of an attempt between one router and one agent incarnation. */
	public static final String ATTEMPT = "Jaywood-Attempt";

	/** Agent incarnation to which an attempt is addressed. */
	public static final String EXPECTED_INCARNATION = "Jaywood-Expected-Incarnation";

	/** Workspace of the caller. */
	public static final String WORKSPACE = "Jaywood-Workspace";

	/** Priority of the call, 0 (highest) to 9. */
	public static final String PRIORITY = "Jaywood-Priority";

	/** Time left for the call in milliseconds. */
	public static final String REMAINING_MILLIS = "Jaywood-Remaining-Millis";

	/** Time that the caller allows for the call in milliseconds. */
	public static final String DEADLINE_MILLIS = "Jaywood-Deadline-Millis";

	/** Service of the call. */
	public static final String SERVICE = "Jaywood-Service";

	/** Method of the caller's request to a plain service. */
	public static final String METHOD = "Jaywood-Method";

	/** Path of the caller's request to a plain service. */
	public static final String PATH = "Jaywood-Path";

	/** Index of the first token of a resumed stream. */
	public static final String RESUME_FROM = "Jaywood-Resume-From";

	/** Digest of the weights required or served. */
	public static final String WEIGHTS = "Jaywood-Weights";

	/** Load of the agent's upstream, JSON. */
	public static final String LOAD = "Jaywood-Load";

	/** Outcome of a call: {@code answered}, {@code not-run} or {@code unknown}. */
	public static final String OUTCOME = "Jaywood-Outcome";

	/** Whether a call to a plain service may be repeated. */
	public static final String IDEMPOTENT = "Jaywood-Idempotent";

	/** Caller's key of a call that runs at most once. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private Headers() {
	}

}
