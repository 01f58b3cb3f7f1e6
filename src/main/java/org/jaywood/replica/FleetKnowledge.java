package org.jaywood.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.jaywood.feed.FeedView;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;

/**
 * What an agent knows of its service: the version that its engine is to serve, its peers
 * and the origin of weights.
 */
final class FleetKnowledge {

	/** Version that engines serve before another one is named. */
	private static final long FIRST_VERSION = 1;

	private final ReplicaSettings settings;

	private final ConcurrentHashMap<String, Long> named = new ConcurrentHashMap<>();

	private volatile @Nullable RouteTable table;

	private volatile List<Upstream> upstreams = List.of();

	private volatile boolean weightsKnown;

	FleetKnowledge(ReplicaSettings settings) {
		this.settings = settings;
	}

	void onConfiguration(FeedView<RouteTable> view) {
		view.entries().values().stream().findFirst().ifPresent((latest) -> this.table = latest);
	}

	void onUpstreams(FeedView<Upstream> view) {
		this.upstreams = List.copyOf(view.entries().values());
	}

	void onWeights(FeedView<NamedWeights> view) {
		view.entries().values().forEach((weights) -> this.named.merge(weights.model(), weights.version(), Math::max));
		this.weightsKnown = true;
	}

	/**
	 * The engines of this service by the configuration, if it is known.
	 */
	Optional<ServiceProfile.Engines> profile() {
		RouteTable known = this.table;
		return (known != null) ? known.service(this.settings.service())
			.filter(ServiceProfile.Engines.class::isInstance)
			.map(ServiceProfile.Engines.class::cast) : Optional.empty();
	}

	/**
	 * The version that the engine is to serve, if it is known.
	 */
	Optional<NamedWeights> target() {
		return profile().filter((profile) -> this.weightsKnown)
			.map((profile) -> new NamedWeights(profile.model(),
					this.named.getOrDefault(profile.model(), FIRST_VERSION)));
	}

	Optional<ServiceProfile.Origin> origin() {
		RouteTable known = this.table;
		return (known != null) ? known.origin() : Optional.empty();
	}

	/**
	 * Engines of this service that stay, that of this agent included.
	 */
	List<Upstream> engines() {
		return this.upstreams.stream()
			.filter((upstream) -> upstream.service().equals(this.settings.service()) && !upstream.leaving())
			.toList();
	}

	/**
	 * The entry of the engine of this agent, if the list has it.
	 */
	Optional<Upstream> own() {
		return this.upstreams.stream()
			.filter((upstream) -> upstream.address().equals(this.settings.engine()))
			.findFirst();
	}

}
