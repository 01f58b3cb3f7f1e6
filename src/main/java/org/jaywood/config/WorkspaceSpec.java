package org.jaywood.config;

/**
 * Specification of a workspace. Its calls share capacity with those of other workspaces.
 *
 * @param share weight of the workspace in fair sharing when capacity is short, at least 1
 */
public record WorkspaceSpec(int share) {
}
