package org.jaywood.feed;

/**
 * The store no longer knows what changed since the revision asked for, so the objects
 * have to be listed anew.
 */
public final class HistoryLostException extends FeedException {

	private static final long serialVersionUID = 1L;

	public HistoryLostException(String message) {
		super(message, null);
	}

}
