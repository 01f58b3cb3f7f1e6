package org.jaywood.routing;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jaywood.feed.FeedView;
import org.jaywood.http.RequestLimits;
import org.jaywood.wire.Address;

/**
 * Records for tests of routing and placement.
 */
public final class RoutingFixtures {

	/** Service of model engines. */
	public static final String ENGINE_SERVICE = "pool";

	/** Service of plain upstreams. */
	public static final String PLAIN_SERVICE = "desk";

	static final int SLOTS = 4;

	private RoutingFixtures() {
	}

	static DispatchSettings settings() {
		return new DispatchSettings("gateway", "doto", "kushiro-a", 1.5, 5, 2_200, 7_000);
	}

	public static RouteTable table(Route... routes) {
		return new RouteTable(1, Stream.of(routes).toList(),
				Map.of(ENGINE_SERVICE, new ServiceProfile.Engines(ENGINE_SERVICE, 36, "model", 16, 300), PLAIN_SERVICE,
						new ServiceProfile.Plain(PLAIN_SERVICE)),
				new KeyRing(true, Map.of("key-1", new Workspace("workspace-1", OptionalInt.empty(), Set.of()))),
				new RequestLimits(16_384, 1_000_000, 3_000, 15_000));
	}

	public static Upstream engine(String id, String dataCentre, String region, long version) {
		return new Upstream(id, ENGINE_SERVICE, new Address("10.0.0." + Math.floorMod(id.hashCode(), 250), 80),
				dataCentre, region, SLOTS, false, 0, 1, new LoadedWeights("model", version, 0, 16));
	}

	static Upstream engine(String id) {
		return engine(id, "kushiro-a", "doto", 1);
	}

	static Upstream plain(String id) {
		return new Upstream(id, PLAIN_SERVICE, new Address("10.0.1.1", 80), "kushiro-a", "doto", SLOTS, false, 0, 1,
				null);
	}

	public static Upstream leaving(Upstream upstream) {
		return new Upstream(upstream.id(), upstream.service(), upstream.address(), upstream.dataCentre(),
				upstream.region(), upstream.slots(), true, 0, upstream.bornMillis(), upstream.weights());
	}

	static Fleet fleet(Upstream... upstreams) {
		return new Fleet(view(Long.MIN_VALUE, upstreams), Set.of(), Map.of());
	}

	static FeedView<Upstream> view(long regainedMillis, Upstream... upstreams) {
		return new FeedView<>(Stream.of(upstreams).collect(Collectors.toMap(Upstream::id, (upstream) -> upstream)), 1,
				0, regainedMillis, false);
	}

	static CallRequirements requirements(String service, boolean late) {
		return new CallRequirements("call", service, Set.of(), "", 1,
				late ? CallRequirements.QueueClass.LATE : CallRequirements.QueueClass.ON_TIME,
				service.equals(ENGINE_SERVICE), CallCost.UNKNOWN, OptionalLong.empty(), Set.of());
	}

	static Optional<Placement> placementOf(QueuedCall queuedCall) {
		return Optional.ofNullable(queuedCall.placement().getNow(null));
	}

}
