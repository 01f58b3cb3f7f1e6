package org.jaywood.store;

/**
 * Object of the object API.
 *
 * @param name name within its kind
 * @param version version for conditional updates
 * @param value content, JSON
 * @param deleted whether the object was deleted
 */
public record StoredObject(String name, long version, byte[] value, boolean deleted) {
}
