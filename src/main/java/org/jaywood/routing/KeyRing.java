package org.jaywood.routing;

import java.util.Map;
import java.util.Optional;

/**
 * The keys of one version of the configuration.
 *
 * @param required whether calls need a key, which holds once workspaces are configured,
 * even if none of them has a key left
 * @param workspacesByKey workspaces by key
 */
public record KeyRing(boolean required, Map<String, Workspace> workspacesByKey) {

	public KeyRing {
		workspacesByKey = Map.copyOf(workspacesByKey);
	}

	Optional<Workspace> workspaceOf(String key) {
		return Optional.ofNullable(this.workspacesByKey.get(key));
	}

}
