package org.jaywood.routing;

import java.util.OptionalLong;
import java.util.Set;

/**
 * What a call needs of an upstream.
 *
 * @param callId id of the call
 * @param service service that runs it
 * @param regions regions in which it may run, or empty for all
 * @param priority its rank, 0 first
 * @param queueClass where it stands among waiting calls
 * @param streaming whether it runs in an engine
 * @param pinnedVersion the only version of the weights that may run it, if that matters
 * @param excludedUpstreams ids of upstreams that shall not get it again
 */
public record CallRequirements(String callId, String service, Set<String> regions, int priority, QueueClass queueClass,
		boolean streaming, OptionalLong pinnedVersion, Set<String> excludedUpstreams) {

	/**
	 * Standing of a call among those that wait.
	 */
	public enum QueueClass {

		/** It has run in part: its caller waits in the middle of an answer. */
		STARTED,

		/** It can still be answered in time. */
		ON_TIME,

		/** Its time target has passed. */
		LATE

	}

}
