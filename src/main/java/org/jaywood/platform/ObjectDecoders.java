package org.jaywood.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.RequestLimits;
import org.jaywood.routing.KeyRing;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RetryPolicy;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceShare;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.Workspace;
import org.jaywood.wire.Address;

/**
 * Decodes the objects of the platform's store into typed records.
 */
final class ObjectDecoders {

	private static final Set<String> KNOWN_STATES = Set.of("ready", "draining");

	/** Upper bound of concurrent calls; no upstream runs as many. */
	private static final int MAX_SLOTS = 65_536;

	/**
	 * Longest time that an object may state, so that adding it to the present time cannot
	 * overflow.
	 */
	private static final long MAX_MILLIS = 24L * 60 * 60 * 1_000;

	/** Largest weight, priority, rate, or number of attempts or layers. */
	private static final int MAX_COUNT = 1_000_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	/** Upper bound of engines of a service in a data centre. */
	private static final int MAX_ENGINES = 10_000;

	private static final double DEFAULT_BOOT_SECONDS = 8;

	private static final double MIN_BOOT_SECONDS = 0.1;

	private static final double MAX_BOOT_SECONDS = 3_600;

	private final Map<String, String> regionByDataCentre;

	/**
	 * Creates decoders.
	 * @param regionByDataCentre region of each data centre
	 */
	ObjectDecoders(Map<String, String> regionByDataCentre) {
		this.regionByDataCentre = regionByDataCentre;
	}

	/**
	 * Decodes the configuration.
	 */
	RouteTable configuration(JsonNode object) {
		JsonNode spec = object.path("Spec");
		List<Route> routes = stream(spec.path("Routes")).map(this::route).toList();
		Map<String, ServiceProfile> services = new HashMap<>();
		spec.path("Services").forEach((node) -> services.put(text(node, "Name"), service(node)));
		return new RouteTable(NumberFields.required(spec, "Version"), routes, services, keyRing(spec.path("Tenants")),
				limits(spec.path("Limits")));
	}

	/**
	 * Decodes the limits. A missing limit has its default, since 0 would reject every
	 * request or close every connection.
	 */
	private static RequestLimits limits(JsonNode node) {
		RequestLimits defaults = RequestLimits.DEFAULTS;
		return new RequestLimits(
				NumberFields.optionalInt(node, "MaxHeaderBytes", 1, Integer.MAX_VALUE, defaults.maxHeaderBytes()),
				NumberFields.optionalInt(node, "MaxBodyBytes", 0, Integer.MAX_VALUE, defaults.maxBodyBytes()),
				NumberFields.optional(node, "HeaderTimeoutMs", 1, MAX_MILLIS, defaults.headTimeoutMillis()),
				NumberFields.optional(node, "IdleTimeoutMs", 1, MAX_MILLIS, defaults.idleTimeoutMillis()));
	}

	/**
	 * Decodes the keys. Only a configuration without the field uses no keys: an empty
	 * list, or null in its place, is what remains when the last workspace was taken away,
	 * and admits nobody.
	 */
	private static KeyRing keyRing(JsonNode tenants) {
		requireList(tenants, "Tenants");
		Map<String, Workspace> workspacesByKey = new HashMap<>();
		tenants.forEach((node) -> {
			Workspace workspace = new Workspace(text(node, "Name"), optionalInt(node.path("Priority")),
					regions(node.path("AllowedRegions")));
			stream(node.path("ApiKeys")).filter((key) -> key.isTextual() && !key.asText().isEmpty())
				.forEach((key) -> workspacesByKey.put(key.asText(), workspace));
		});
		return new KeyRing(!tenants.isMissingNode(), workspacesByKey);
	}

	/**
	 * Decodes the regions to which calls are restricted; an empty list restricts nothing.
	 */
	private static Set<String> regions(JsonNode list) {
		requireList(list, "AllowedRegions");
		return stream(list).map(JsonNode::asText).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Checks that a field is a list, null or missing. A value of another type holds no
	 * elements either, and would be taken for an empty list.
	 */
	private static void requireList(JsonNode node, String field) {
		if (!node.isArray() && !node.isNull() && !node.isMissingNode()) {
			throw new IllegalArgumentException(field + " is no list");
		}
	}

	private Route route(JsonNode node) {
		return new Route(text(node, "Name"), text(node, "Host"), text(node, "PathPrefix"), retryPolicy(node),
				NumberFields.optional(node, "TimeoutMs", 0, MAX_MILLIS, 0),
				NumberFields.optional(node, "TargetLatencyMs", 0, MAX_MILLIS, 0),
				NumberFields.optionalInt(node, "Priority", 0, MAX_COUNT, 0), serviceShares(node),
				Math.max(1, NumberFields.optionalInt(node, "MaxAttempts", 0, MAX_COUNT, 1)),
				node.path("Public").booleanValue(), regions(node.path("AllowedRegions")));
	}

	private static List<ServiceShare> serviceShares(JsonNode route) {
		JsonNode split = route.path("TrafficSplit");
		requireList(split, "TrafficSplit");
		if (split.isEmpty()) {
			return List.of(new ServiceShare(text(route, "Service"), 1));
		}
		List<ServiceShare> shares = stream(split)
			.map((share) -> new ServiceShare(text(share, "Service"),
					NumberFields.optionalInt(share, "Weight", 0, MAX_COUNT, 0)))
			.toList();
		if (shares.stream().mapToLong(ServiceShare::weight).sum() > Integer.MAX_VALUE) {
			throw new IllegalArgumentException("sum of weights is too large");
		}
		return shares;
	}

	private static RetryPolicy retryPolicy(JsonNode node) {
		return switch (text(node, "Kind")) {
			case "safe" -> RetryPolicy.IDEMPOTENT;
			case "streaming" ->
				node.path("Resumable").booleanValue() ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.STREAM;
			default -> RetryPolicy.AT_MOST_ONCE;
		};
	}

	private ServiceProfile service(JsonNode node) {
		String name = text(node, "Name");
		if (node.hasNonNull("Origin")) {
			return new ServiceProfile.Origin(name, address(node, "Origin"),
					this.regionByDataCentre.getOrDefault(node.path("Zone").asText(), ""));
		}
		JsonNode engine = node.path("Engine");
		if (!engine.isObject()) {
			return new ServiceProfile.Plain(name);
		}
		JsonNode model = engine.path("Models").path(0);
		return new ServiceProfile.Engines(name, NumberFields.optionalDouble(node, "ColdPerS", 0, MAX_COUNT, 0),
				text(model, "Name"), NumberFields.optionalInt(engine, "layers", 0, MAX_COUNT, 0),
				Math.round(NumberFields.optionalDouble(model, "WarmS", 0, MAX_MILLIS / MILLIS_PER_SECOND, 0)
						* MILLIS_PER_SECOND),
				scaling(node.path("Scaling")));
	}

	/**
	 * Decodes the bounds for the number of engines.
	 * @return the bounds, or null if the service has none. Malformed bounds count as
	 * none: the number of engines stays as it is, and the configuration remains usable
	 */
	private static ServiceProfile.@Nullable Scaling scaling(JsonNode node) {
		try {
			int min = (int) NumberFields.required(node, "Min", 0, MAX_ENGINES);
			int max = (int) NumberFields.required(node, "Max", 0, MAX_ENGINES);
			double bootSeconds = NumberFields.optionalDouble(node, "BootS", MIN_BOOT_SECONDS, MAX_BOOT_SECONDS,
					DEFAULT_BOOT_SECONDS);
			return (min <= max) ? new ServiceProfile.Scaling(min, max, Math.round(bootSeconds * MILLIS_PER_SECOND))
					: null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	/**
	 * Decodes the entry of an upstream. An entry with an unknown state is malformed, so
	 * that its upstream is not used.
	 */
	Upstream upstream(JsonNode object) {
		JsonNode spec = object.path("Spec");
		String state = text(spec, "State");
		if (!KNOWN_STATES.contains(state)) {
			throw new IllegalArgumentException("unknown state " + state);
		}
		String zone = text(spec, "Zone");
		String region = this.regionByDataCentre.get(zone);
		if (region == null) {
			throw new IllegalArgumentException("unknown zone " + zone);
		}
		return new Upstream(text(object.path("Metadata"), "Name"), text(spec, "Service"), address(spec, "Address"),
				zone, region, (int) NumberFields.required(spec, "Slots", 1, MAX_SLOTS), state.equals("draining"),
				coldMillis(spec), NumberFields.optional(spec, "born", 0, NumberFields.MAX_EXACT_INTEGER, 0),
				loadedWeights(spec));
	}

	/**
	 * Decodes for how many more milliseconds an upstream is cold; a negative value, for a
	 * time that has passed, becomes 0.
	 */
	private static long coldMillis(JsonNode spec) {
		return Math.max(0, NumberFields.optional(spec, "ColdLeftMs", -MAX_MILLIS, MAX_MILLIS, 0));
	}

	/**
	 * Decodes an address to which connections can be opened.
	 */
	private static Address address(JsonNode node, String field) {
		Address address = Address.parse(text(node, field));
		if (address.port() == 0 || address.host().startsWith("0.")) {
			throw new IllegalArgumentException(field + " cannot be reached: " + address);
		}
		return address;
	}

	/**
	 * Decodes the weights that an engine reports as served.
	 * @return the weights, or null if it serves none
	 */
	static @Nullable LoadedWeights loadedWeights(JsonNode node) {
		JsonNode model = node.path("Models").path(0);
		if (!model.isObject()) {
			return null;
		}
		// Reports of engines that have loaded only some layers state the range of these.
		JsonNode layers = node.path("layers");
		JsonNode range = layers.isArray() ? layers.path(0) : layers;
		int from = NumberFields.optionalInt(range, "From", 0, Integer.MAX_VALUE, 0);
		int to = NumberFields.optionalInt(range, "To", 0, Integer.MAX_VALUE, range.isObject() ? 0 : Integer.MAX_VALUE);
		return new LoadedWeights(text(model, "Name"), NumberFields.required(model, "Version"), from, to);
	}

	/**
	 * Decodes the target version of a model.
	 */
	ModelVersion targetVersion(JsonNode object) {
		JsonNode spec = object.path("Spec");
		return new ModelVersion(text(spec, "Model"), NumberFields.required(spec, "Version"));
	}

	/**
	 * Decodes the request to close a data centre, whose name is the name of the object.
	 */
	String closedDataCentre(JsonNode object) {
		return text(object.path("Metadata"), "Name");
	}

	private static Stream<JsonNode> stream(JsonNode list) {
		return StreamSupport.stream(list.spliterator(), false);
	}

	private static OptionalInt optionalInt(JsonNode node) {
		return node.isInt() ? OptionalInt.of(node.asInt()) : OptionalInt.empty();
	}

	private static String text(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual()) {
			throw new IllegalArgumentException(field + " is missing or not a string");
		}
		return value.asText();
	}

}
