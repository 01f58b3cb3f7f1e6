package org.jaywood.feed;

/**
 * Objects of one kind in a store, which can be listed and watched.
 *
 * @param <T> type of the values
 */
public interface Feed<T> {

	/**
	 * Returns the name of the feed for logs.
	 */
	String name();

	/**
	 * Lists all objects.
	 * @throws FeedException if the store does not answer
	 */
	FeedPage<T> list() throws FeedException;

	/**
	 * Waits for changes.
	 * @param revision revision after which changes are returned
	 * @param waitMillis time after which the store answers that nothing has changed
	 * @throws FeedException if the store does not answer soon after that time
	 */
	FeedPage<T> watch(long revision, long waitMillis) throws FeedException;

}
