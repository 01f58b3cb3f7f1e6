package org.jaywood.routing;

/**
 * Why a call is not placed on an upstream of its service.
 */
public enum Exclusion {

	/** The upstream leaves, or its entry is missing for too long. */
	LEAVING,

	/** Its data centre is closed. */
	CLOSED_DATA_CENTRE,

	/** The call may not run in its region. */
	REGION,

	/** The call was already sent there. */
	TRIED,

	/**
	 * It does not hold all layers of the weights, or a version that may not start the
	 * call.
	 */
	VERSION,

	/** It reports that it takes no calls. */
	BUSY,

	/** It is ejected after calls without an answer, or in a backoff that it asked for. */
	EJECTED,

	/** It has asked for a pause, or has as many calls as it gets right after one. */
	PAUSED,

	/** Its agent reports that it does not answer, or has stopped to report. */
	UNRESPONSIVE,

	/** Nothing comes from its VM. */
	SILENT_VM,

	/** Calls on the path to it were late, and one is under way to find out more. */
	DOUBTED_PATH,

	/** This gateway does not subscribe to its reports and has enough others. */
	NOT_SUBSCRIBED,

	/** Reports from it or calls to it are late, and others have capacity. */
	UNTIMELY_PATH,

	/** This gateway has sent its share of the calls that a cold engine tolerates. */
	COLD_LIMIT,

	/** This gateway has sent its share of the calls that the upstream takes. */
	NAMED_LIMIT,

	/** It holds as many calls as it may, or fails so many that it gets few. */
	FULL,

	/** This gateway has used its share of the free capacity that reports have shown. */
	FREE_SHARE,

	/** Its running attempts have all gone quiet. */
	QUIET,

	/** Its free capacity is left to more urgent calls. */
	HELD_BACK,

	/** Calls do not leave for its data centre, or not for the own one. */
	OTHER_DATA_CENTRE

}
