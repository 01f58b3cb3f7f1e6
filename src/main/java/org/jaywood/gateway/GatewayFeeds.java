package org.jaywood.gateway;

import org.jaywood.feed.Feed;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.Upstream;

/**
 * Feeds of the store's objects that a gateway watches.
 *
 * @param configuration the configuration, one object
 * @param upstreams upstreams by id
 * @param closedDataCentres names of data centres that are out of service
 * @param targetVersions target versions by model
 */
public record GatewayFeeds(Feed<RouteTable> configuration, Feed<Upstream> upstreams, Feed<String> closedDataCentres,
		Feed<ModelVersion> targetVersions) {
}
