package org.jaywood.config;

/**
 * A workspace, whose calls share capacity fairly with those of others.
 *
 * @param share weight of the workspace when capacity is short, at least 1
 */
public record WorkspaceSpec(int share) {
}
