package org.jaywood.store;

import java.util.List;

/**
 * Objects of a kind that changed.
 *
 * @param version version up to which the page is complete
 * @param objects changed objects, oldest change first
 */
public record ObjectPage(long version, List<StoredObject> objects) {
}
