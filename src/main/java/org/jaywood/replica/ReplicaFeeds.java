package org.jaywood.replica;

import org.jaywood.feed.Feed;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.Upstream;

/**
 * Where an agent learns what it has to know.
 *
 * @param configuration the configuration, which names the origin of weights
 * @param upstreams upstreams by id, among them the peers of this agent
 * @param weights named weights by model
 */
public record ReplicaFeeds(Feed<RouteTable> configuration, Feed<Upstream> upstreams, Feed<ModelVersion> weights) {
}
