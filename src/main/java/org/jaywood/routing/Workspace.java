package org.jaywood.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Workspace to which keys of callers belong.
 *
 * @param name name of the workspace
 * @param priority priority of its calls, which overrides that of the route
 * @param regions regions in which its calls may run, or empty for all
 */
public record Workspace(String name, OptionalInt priority, Set<String> regions) {
}
