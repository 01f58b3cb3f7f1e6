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

	/** Its weights are incomplete, or their version may not serve this call. */
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

	/**
	 * Reports from it or calls to it were late, and a later call to it, which serves as a
	 * probe, has not begun yet.
	 */
	PATH_SUSPECT,

	/** This gateway does not subscribe to its reports and has enough others. */
	NOT_SUBSCRIBED,

	/** Reports from it or calls to it are late, and others have capacity. */
	SLOW_PATH,

	/** This gateway has sent its share of the calls that a cold engine tolerates. */
	COLD_LIMIT,

	/** This gateway has used its share of the limit that the upstream has announced. */
	UPSTREAM_LIMIT,

	/** It holds as many calls as it may, or fails so many that it gets few. */
	FULL,

	/** This gateway has used its share of the free capacity that reports have shown. */
	FREE_CAPACITY_SHARE,

	/** None of the attempts of this gateway that run there has made progress lately. */
	STALLED,

	/** Its free capacity is left to more urgent calls. */
	HELD_BACK,

	/** The spillover decision does not allow its data centre. */
	OTHER_DATA_CENTRE

}
