package org.jaywood.feed;

import java.util.List;

/**
 * Response of a store to a list or watch.
 *
 * @param era era of the store, which rises when the store is restored from an older copy
 * @param revision revision of the store up to which the response is complete; comparable
 * within one era only
 * @param entries all objects for a list, changes in their order for a watch
 * @param <T> type of the values
 */
public record FeedPage<T>(long era, long revision, List<FeedEntry<T>> entries) {

	/**
	 * Creates the response of a store that does not state an era.
	 */
	public FeedPage(long revision, List<FeedEntry<T>> entries) {
		this(0, revision, entries);
	}

}
