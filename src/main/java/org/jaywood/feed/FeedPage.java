package org.jaywood.feed;

import java.util.List;

/**
 * Answer of a store.
 *
 * @param revision revision of the store up to which the answer holds
 * @param entries all objects for a list, changes in their order for a watch
 * @param <T> type of the values
 */
public record FeedPage<T>(long revision, List<FeedEntry<T>> entries) {
}
