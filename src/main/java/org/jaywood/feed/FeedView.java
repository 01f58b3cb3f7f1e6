package org.jaywood.feed;

import java.util.Map;

/**
 * State of a feed as last read from the store.
 *
 * @param entries readable objects by name
 * @param era era of the store in which the entries were read
 * @param revision revision of the store at which the entries were read; comparable within
 * one era only
 * @param confirmedMillis boot time up to which the entries are known to be current
 * @param regainedMillis boot time at which the store answered again after an outage, or
 * first answered after it was restored from an older copy, or {@link Long#MIN_VALUE} if
 * neither occurred
 * @param relisted whether the objects were listed, so that a difference from the previous
 * view may be as old as that view
 * @param <T> type of the values
 */
public record FeedView<T>(Map<String, T> entries, long era, long revision, long confirmedMillis, long regainedMillis,
		boolean relisted) {

	/**
	 * Creates a view of a store that does not state an era.
	 */
	public FeedView(Map<String, T> entries, long revision, long confirmedMillis, long regainedMillis,
			boolean relisted) {
		this(entries, 0, revision, confirmedMillis, regainedMillis, relisted);
	}

	/**
	 * Returns this view with other entries.
	 */
	public FeedView<T> withEntries(Map<String, T> latest) {
		return new FeedView<>(latest, this.era, this.revision, this.confirmedMillis, this.regainedMillis,
				this.relisted);
	}

}
