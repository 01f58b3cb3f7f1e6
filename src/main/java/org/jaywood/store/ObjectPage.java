package org.jaywood.store;

import java.util.List;

/**
 * Changed objects of one kind.
 *
 * @param version version up to which the page is complete
 * @param objects changed objects, in order of their changes
 */
public record ObjectPage(long version, List<StoredObject> objects) {
}
