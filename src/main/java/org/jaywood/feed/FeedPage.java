package org.jaywood.feed;

import java.util.List;

/**
 * Response of a store to a list or watch.
 *
 * @param revision revision of the store up to which the response is complete
 * @param entries all objects for a list, changes in their order for a watch
 * @param <T> type of the values
 */
public record FeedPage<T>(long revision, List<FeedEntry<T>> entries) {
}
