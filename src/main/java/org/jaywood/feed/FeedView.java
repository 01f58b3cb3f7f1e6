package org.jaywood.feed;

import java.util.Map;

/**
 * What is known of a feed.
 *
 * @param entries readable objects by name
 * @param revision revision of the store to which they belong
 * @param confirmedMillis boot time up to which it is known that nothing else changed
 * @param regainedMillis boot time at which the store answered again after an outage, or
 * {@link Long#MIN_VALUE} if there was none
 * @param relisted whether it was listed, so that what differs from the view before may
 * have changed at any time since then, rather than just now
 * @param <T> type of the values
 */
public record FeedView<T>(Map<String, T> entries, long revision, long confirmedMillis, long regainedMillis,
		boolean relisted) {
}
