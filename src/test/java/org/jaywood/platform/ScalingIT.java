package org.jaywood.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs gateways as real processes against a fake of the cloud API. Guards against orders
 * of several gateways, in a wrong format, or without need.
 */
class ScalingIT {

	private static final String SCALING = "Scaling";

	private final EventLog log = new EventLog("test");

	private final List<JsonNode> orders = new CopyOnWriteArrayList<>();

	private final List<String> holders = new CopyOnWriteArrayList<>();

	@Test
	void oneGatewayOrdersTheEnginesThatAreMissing() throws Exception {
		HttpPort cloud = HttpPort.open(new Address("127.0.0.1", 0), this.log).route("POST", "/scale", (exchange) -> {
			this.holders.add(exchange.header("X-Duty-Holder") + " " + exchange.header("X-Fencing-Token"));
			this.orders.add(exchange.readJson(JsonNode.class, 4_096));
			exchange.respondJson(200, Map.of());
		}).start();
		try (PlatformProcesses processes = new PlatformProcesses(2, 1, this.log).withSingletons(cloud.address(),
				"autoscale")) {
			processes.start();
			Awaitility.await().pollDelay(8, TimeUnit.SECONDS).until(() -> true);
			assertThat(this.orders).isEmpty();
			processes.store().put("config", "main", withScaling(processes.configuration(2, List.of("key"))));
			Awaitility.await().atMost(20, TimeUnit.SECONDS).until(() -> !this.orders.isEmpty());
			JsonNode order = this.orders.getFirst();
			assertThat(order.path("Service").asText()).isEqualTo("pool");
			assertThat(order.path("Zone").asText()).isEqualTo("zone-a");
			assertThat(order.path("Desired").asInt()).isEqualTo(2);
			assertThat(this.holders.getFirst()).matches("gateway-[01] [0-9]+");
			Awaitility.await().pollDelay(2, TimeUnit.SECONDS).until(() -> true);
			assertThat(this.orders).hasSize(1);
		}
		finally {
			cloud.close();
		}
	}

	private static Map<String, Object> withScaling(Map<String, Object> configuration) {
		Map<String, Object> changed = new HashMap<>(configuration);
		List<?> services = (List<?>) configuration.get("Services");
		changed.put("Services", services.stream().map(ScalingIT::withScalingOfPool).toList());
		return changed;
	}

	private static Object withScalingOfPool(Object service) {
		Map<?, ?> plain = (Map<?, ?>) service;
		if (!"pool".equals(plain.get("Name"))) {
			return service;
		}
		Map<Object, Object> scaled = new HashMap<>(plain);
		scaled.put(SCALING, Map.of("Min", 2, "Max", 4, "BootS", 4));
		return scaled;
	}

}
