package org.jaywood.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Holder of keys.
 *
 * @param name name of the workspace
 * @param priority rank of its calls, which goes before that of the route
 * @param regions regions in which its calls may run, or empty for all
 */
public record Workspace(String name, OptionalInt priority, Set<String> regions) {
}
