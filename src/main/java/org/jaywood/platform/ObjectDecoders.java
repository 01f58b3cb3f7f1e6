package org.jaywood.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.RequestLimits;
import org.jaywood.routing.KeyRing;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.RepeatPolicy;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceShare;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.Workspace;
import org.jaywood.wire.Address;

/**
 * Makes typed records of the objects of the platform's store.
 */
final class ObjectDecoders {

	private static final Set<String> STATES = Set.of("ready", "draining");

	private final Map<String, String> regions;

	/**
	 * Creates decoders.
	 * @param regions region of each data centre
	 */
	ObjectDecoders(Map<String, String> regions) {
		this.regions = regions;
	}

	/**
	 * Decodes the configuration.
	 */
	RouteTable configuration(JsonNode object) {
		JsonNode spec = object.path("Spec");
		List<Route> routes = stream(spec.path("Routes")).map(this::route).toList();
		Map<String, ServiceProfile> services = new HashMap<>();
		spec.path("Services").forEach((node) -> services.put(text(node, "Name"), service(node)));
		JsonNode limits = spec.path("Limits");
		return new RouteTable(requiredLong(spec, "Version"), routes, services, keys(spec.path("Tenants")),
				new RequestLimits(limits.path("MaxHeaderBytes").asInt(), limits.path("MaxBodyBytes").asInt(),
						limits.path("HeaderTimeoutMs").asLong(), limits.path("IdleTimeoutMs").asLong()));
	}

	private static KeyRing keys(JsonNode tenants) {
		Map<String, Workspace> workspacesByKey = new HashMap<>();
		tenants.forEach((node) -> {
			Workspace workspace = new Workspace(text(node, "Name"), optionalInt(node.path("Priority")),
					strings(node.path("AllowedRegions")));
			node.path("ApiKeys").forEach((key) -> workspacesByKey.put(key.asText(), workspace));
		});
		return new KeyRing(!tenants.isEmpty(), workspacesByKey);
	}

	private Route route(JsonNode node) {
		List<ServiceShare> shares = node.path("TrafficSplit").isEmpty()
				? List.of(new ServiceShare(text(node, "Service"), 1))
				: stream(node.path("TrafficSplit"))
					.map((share) -> new ServiceShare(text(share, "Service"), share.path("Weight").asInt()))
					.toList();
		return new Route(text(node, "Name"), text(node, "Host"), text(node, "PathPrefix"), policy(node),
				node.path("TimeoutMs").asLong(), node.path("TargetLatencyMs").asLong(), node.path("Priority").asInt(),
				shares, Math.max(1, node.path("MaxAttempts").asInt(1)), node.path("Public").asBoolean(),
				strings(node.path("AllowedRegions")));
	}

	private static RepeatPolicy policy(JsonNode node) {
		return switch (text(node, "Kind")) {
			case "safe" -> RepeatPolicy.IDEMPOTENT;
			case "streaming" ->
				node.path("Resumable").asBoolean() ? RepeatPolicy.RESUMABLE_STREAM : RepeatPolicy.STREAM;
			default -> RepeatPolicy.AT_MOST_ONCE;
		};
	}

	private ServiceProfile service(JsonNode node) {
		String name = text(node, "Name");
		if (node.hasNonNull("Origin")) {
			return new ServiceProfile.Origin(name, Address.parse(text(node, "Origin")),
					this.regions.getOrDefault(node.path("Zone").asText(), ""));
		}
		JsonNode engine = node.path("Engine");
		if (!engine.isObject()) {
			return new ServiceProfile.Plain(name);
		}
		JsonNode model = engine.path("Models").path(0);
		return new ServiceProfile.Engines(name, node.path("ColdPerS").asDouble(), text(model, "Name"),
				engine.path("layers").asInt(), Math.round(model.path("WarmS").asDouble() * 1000));
	}

	/**
	 * Decodes the entry of a back end. An entry of an unknown state names none to use.
	 */
	Upstream upstream(JsonNode object) {
		JsonNode spec = object.path("Spec");
		String state = text(spec, "State");
		if (!STATES.contains(state)) {
			throw new IllegalArgumentException("unknown state " + state);
		}
		String zone = text(spec, "Zone");
		String region = this.regions.get(zone);
		if (region == null) {
			throw new IllegalArgumentException("unknown zone " + zone);
		}
		return new Upstream(text(object.path("Metadata"), "Name"), text(spec, "Service"),
				Address.parse(text(spec, "Address")), zone, region, Math.toIntExact(requiredLong(spec, "Slots")),
				state.equals("draining"), spec.path("ColdLeftMs").asLong(), spec.path("born").asLong(), weights(spec));
	}

	/**
	 * Decodes the weights that an engine says it serves.
	 * @return the weights, or null if it serves none
	 */
	static @Nullable LoadedWeights weights(JsonNode node) {
		JsonNode model = node.path("Models").path(0);
		if (!model.isObject()) {
			return null;
		}
		// Reports of engines that hold only some layers state the range that they hold.
		JsonNode layers = node.path("layers");
		JsonNode range = layers.isArray() ? layers.path(0) : layers;
		int from = range.path("From").asInt(0);
		int to = range.path("To").asInt(range.isObject() ? 0 : Integer.MAX_VALUE);
		return new LoadedWeights(text(model, "Name"), requiredLong(model, "Version"), from, to);
	}

	/**
	 * Decodes the naming of a version.
	 */
	NamedWeights namedWeights(JsonNode object) {
		JsonNode spec = object.path("Spec");
		return new NamedWeights(text(spec, "Model"), requiredLong(spec, "Version"));
	}

	/**
	 * Decodes the request to close a data centre, which its name states.
	 */
	String closedDataCentre(JsonNode object) {
		return text(object.path("Metadata"), "Name");
	}

	private static Stream<JsonNode> stream(JsonNode list) {
		return StreamSupport.stream(list.spliterator(), false);
	}

	private static Set<String> strings(JsonNode list) {
		Set<String> strings = new HashSet<>();
		list.forEach((node) -> strings.add(node.asText()));
		return Set.copyOf(strings);
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

	private static long requiredLong(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber()) {
			throw new IllegalArgumentException(field + " is missing or not a whole number");
		}
		return value.asLong();
	}

}
