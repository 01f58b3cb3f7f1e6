package org.jaywood.feed;

/**
 * Objects of one kind in a store.
 *
 * @param <T> type of the values
 */
public interface Feed<T> {

	/**
	 * Name for logs.
	 */
	String name();

	/**
	 * Lists all objects.
	 * @throws FeedException if the store does not answer
	 */
	FeedPage<T> list() throws FeedException;

	/**
	 * Waits for changes.
	 * @param revision revision from which changes are wanted
	 * @param waitMillis time after which the store answers that nothing changed
	 * @throws FeedException if the store does not answer soon after that time
	 */
	FeedPage<T> watch(long revision, long waitMillis) throws FeedException;

}
