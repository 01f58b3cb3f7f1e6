package org.jaywood.feed;

import java.util.Map;

/**
 * State of a feed as last read from the store.
 *
 * @param entries readable objects by name
 * @param revision revision of the store at which the entries were read
 * @param confirmedMillis boot time up to which the entries are known to be current
 * @param regainedMillis boot time at which the store answered again after an outage, or
 * {@link Long#MIN_VALUE} if there was none
 * @param relisted whether the objects were listed, so that a difference from the previous
 * view may be as old as that view
 * @param <T> type of the values
 */
public record FeedView<T>(Map<String, T> entries, long revision, long confirmedMillis, long regainedMillis,
		boolean relisted) {
}
