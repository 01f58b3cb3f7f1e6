package org.jaywood.routing;

import java.util.OptionalLong;
import java.util.Set;

/**
 * Requirements of a call on its upstream.
 *
 * @param callId id of the call
 * @param service service that runs it
 * @param regions regions in which it may run, or empty for all
 * @param workspace name of the caller's workspace, or empty if the call needs no key
 * @param priority its priority, 0 first
 * @param queueClass its class in the queue
 * @param streaming whether it runs in an engine
 * @param cost its size
 * @param pinnedVersion the only version of the weights that may run it, or empty for any
 * @param excludedUpstreams ids of upstreams on which it is not placed again
 */
public record CallRequirements(String callId, String service, Set<String> regions, String workspace, int priority,
		QueueClass queueClass, boolean streaming, CallCost cost, OptionalLong pinnedVersion,
		Set<String> excludedUpstreams) {

	/**
	 * Class of a queued call, in the order of placement.
	 */
	public enum QueueClass {

		/** It has partly run: its caller has received the beginning of an answer. */
		STARTED,

		/** It was placed on a VM from which nothing comes any more. */
		MOVED,

		/** It can still be answered in time. */
		ON_TIME,

		/** Its time target has passed. */
		LATE;

		/**
		 * Whether calls of this class were sent to an upstream before, so that their
		 * callers have waited longest.
		 */
		boolean sentBefore() {
			return this == STARTED || this == MOVED;
		}

	}

}
