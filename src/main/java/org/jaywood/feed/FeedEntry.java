package org.jaywood.feed;

import org.jspecify.annotations.Nullable;

/**
 * State of one object.
 *
 * @param name name of the object, unique in its feed
 * @param value its value, or null if it was deleted or cannot be read
 * @param <T> type of the values
 */
public record FeedEntry<T>(String name, @Nullable T value) {
}
