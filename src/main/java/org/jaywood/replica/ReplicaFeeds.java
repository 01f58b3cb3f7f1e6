package org.jaywood.replica;

import org.jaywood.feed.Feed;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.Upstream;

/**
 * Feeds of the store that an agent reads.
 *
 * @param configuration the configuration, which gives the origin of weights
 * @param upstreams upstreams by id, among them the peers of this agent
 * @param targetVersions target versions by model
 */
public record ReplicaFeeds(Feed<RouteTable> configuration, Feed<Upstream> upstreams,
		Feed<ModelVersion> targetVersions) {
}
