package org.jaywood.store;

/**
 * A value of the object API.
 *
 * @param name name within its kind
 * @param version version for conditional updates
 * @param value content, JSON
 * @param deleted whether this records a deletion
 */
public record StoredObject(String name, long version, byte[] value, boolean deleted) {
}
