package org.jaywood.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.jaywood.feed.FeedView;
import org.jaywood.wire.Address;

/**
 * Upstreams, closed data centres and target versions as known at one moment.
 *
 * @param upstreams view of the upstreams
 * @param closedDataCentres data centres whose upstreams get no calls
 * @param targetVersions target versions by model, each with the time at which it was
 * learned
 */
public record Fleet(FeedView<Upstream> upstreams, Set<String> closedDataCentres,
		Map<String, List<TargetVersion>> targetVersions) {

	/**
	 * Returns the upstreams by id, without entries at whose address a younger incarnation
	 * of the same service runs. An upstream that loses power leaves such an entry behind
	 * until its heartbeats are missed, and the younger incarnation refuses calls meant
	 * for the older one.
	 */
	public Map<String, Upstream> currentUpstreams() {
		Map<Endpoint, Long> youngest = this.upstreams.entries()
			.values()
			.stream()
			.collect(Collectors.toMap(Endpoint::of, Upstream::bornMillis, Math::max));
		return this.upstreams.entries()
			.values()
			.stream()
			.filter((entry) -> entry.bornMillis() >= youngest.getOrDefault(Endpoint.of(entry), Long.MIN_VALUE))
			.collect(Collectors.toMap(Upstream::id, Function.identity()));
	}

	/**
	 * Service and address, which successive incarnations of one upstream share.
	 */
	record Endpoint(String service, Address address) {

		static Endpoint of(Upstream upstream) {
			return new Endpoint(upstream.service(), upstream.address());
		}

	}

	/**
	 * Target version of a model.
	 *
	 * @param version number of the version
	 * @param learnedMillis boot-clock time at which this process learned of it
	 */
	public record TargetVersion(long version, long learnedMillis) {
	}

}
