package org.jaywood.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jaywood.feed.FeedView;

/**
 * What is known of upstreams, closed data centres and named weights at one moment.
 *
 * @param upstreams view of the upstreams
 * @param closedDataCentres data centres whose upstreams get no calls
 * @param named named versions by model, with the time at which each was learned
 */
public record Fleet(FeedView<Upstream> upstreams, Set<String> closedDataCentres, Map<String, List<NamedSince>> named) {

	/**
	 * A named version.
	 *
	 * @param version number of the version
	 * @param learnedMillis boot time at which this process learned of it
	 */
	public record NamedSince(long version, long learnedMillis) {
	}

}
