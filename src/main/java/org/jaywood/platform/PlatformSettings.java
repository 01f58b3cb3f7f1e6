package org.jaywood.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.jspecify.annotations.Nullable;

import org.jaywood.gateway.GatewayLimits;
import org.jaywood.gateway.GatewaySettings;
import org.jaywood.gateway.SingletonSettings;
import org.jaywood.replica.ReplicaSettings;
import org.jaywood.routing.DispatchSettings;
import org.jaywood.wire.Address;

/**
 * Settings file that the platform writes for a process, in the platform's own format.
 * Unknown fields are ignored.
 */
public final class PlatformSettings {

	/** Environment variable that holds the path of the file. */
	public static final String FILE_VARIABLE = "JAYWOOD_NODE_FILE";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final double BYTES_PER_MEGABIT = 125_000;

	/**
	 * Share of the bound on revoked keys ({@code RevokeMs}) that is the lifetime of a
	 * configuration for the check of keys.
	 */
	private static final double KEY_LIFETIME_SHARE = 0.68;

	/**
	 * Share of the bound on configurations ({@code ConfigMs}) that is the lifetime of a
	 * configuration for routes.
	 */
	private static final double ROUTE_LIFETIME_SHARE = 0.9;

	/**
	 * Time for which entries may be missing after an outage of the store, plus a margin.
	 */
	private static final long LAPSE_GRACE_MILLIS = 2_200;

	/**
	 * Time that a call may spend in transit and in the queue of an engine. Several
	 * gateways that place calls by the same old report overfill that queue until the next
	 * report.
	 */
	private static final long VERSION_GRACE_MARGIN_MILLIS = 1_500;

	private static final double DEFAULT_CLOUD_CALLS_PER_SECOND = 1;

	private static final long DEFAULT_LEASE_MILLIS = 3_000;

	private static final double DEFAULT_USAGE_WINDOW_SECONDS = 5;

	private static final double DEFAULT_USAGE_LATE_SECONDS = 10;

	private final JsonNode tree;

	private PlatformSettings(JsonNode tree) {
		this.tree = tree;
	}

	/**
	 * Reads the file.
	 * @throws IOException if it cannot be read or is not TOML
	 */
	public static PlatformSettings read(Path file) throws IOException {
		return parse(Files.readString(file));
	}

	/**
	 * Reads the text of a file.
	 * @throws IOException if it is not TOML
	 */
	public static PlatformSettings parse(String text) throws IOException {
		return new PlatformSettings(new TomlMapper().readTree(text));
	}

	/**
	 * Returns the name of the VM.
	 */
	public String vm() {
		return this.tree.path("Node").asText();
	}

	/**
	 * Returns the address of the store.
	 */
	public Address store() {
		return Address.parse(this.tree.path("Platform").path("Address").asText());
	}

	/**
	 * Returns the region of each data centre.
	 */
	public Map<String, String> regions() {
		Map<String, String> regions = new HashMap<>();
		this.tree.path("Zones").properties().forEach((entry) -> regions.put(entry.getKey(), entry.getValue().asText()));
		return regions;
	}

	/**
	 * Returns the settings of a gateway whose memory budget takes the default share of
	 * the heap.
	 */
	public GatewaySettings gateway() {
		return gateway(GatewayLimits.DEFAULT_MEMORY_PERCENT);
	}

	/**
	 * Returns the settings of a gateway.
	 * @param memoryPercent share of the heap that its memory budget takes
	 */
	public GatewaySettings gateway(int memoryPercent) {
		JsonNode listen = this.tree.path("Listen");
		JsonNode bounds = this.tree.path("Bounds");
		boolean strict = bounds.path("StrictRevoke").asBoolean();
		long keyLifetimeMillis = strict ? Math.round(bounds.path("RevokeMs").asLong() * KEY_LIFETIME_SHARE)
				: Long.MAX_VALUE;
		return new GatewaySettings(vm(), Address.parse(listen.path("Front").asText()),
				Address.parse(listen.path("ReadyAddress").asText()), "/ready", new Address(ip(), lastPort()),
				firstPort(), dispatchSettings(bounds), bounds.path("RetryBudgetRatio").asDouble(),
				bounds.path("BudgetExtra").asDouble(), bounds.path("BudgetWindowS").asLong() * MILLIS_PER_SECOND,
				keyLifetimeMillis, Math.round(bounds.path("ConfigMs").asLong() * ROUTE_LIFETIME_SHARE), graceMillis(),
				GatewayLimits.ofHeap(Runtime.getRuntime().maxMemory(), memoryPercent));
	}

	/**
	 * Returns the settings of the singletons that one gateway has at a time, or null if
	 * the file names none.
	 */
	public @Nullable SingletonSettings singletons() {
		JsonNode cloud = this.tree.path("Cloud");
		Set<String> names = new HashSet<>();
		cloud.path("Duties").forEach((name) -> names.add(name.asText()));
		if (names.isEmpty()) {
			return null;
		}
		JsonNode bounds = this.tree.path("Bounds");
		return new SingletonSettings(names, Address.parse(cloud.path("Address").asText()),

				cloud.path("DutyPerS").asDouble(DEFAULT_CLOUD_CALLS_PER_SECOND),
				bounds.path("LeaseMs").asLong(DEFAULT_LEASE_MILLIS),
				Math.round(bounds.path("UsageWindowS").asDouble(DEFAULT_USAGE_WINDOW_SECONDS) * MILLIS_PER_SECOND),
				Math.round(bounds.path("UsageLateS").asDouble(DEFAULT_USAGE_LATE_SECONDS) * MILLIS_PER_SECOND));
	}

	/**
	 * Returns the settings of the agent of an engine.
	 */
	public ReplicaSettings replica() {
		return new ReplicaSettings(vm(), Address.parse(this.tree.path("app").asText()), new Address(ip(), firstPort()),
				this.tree.path("Service").asText(), this.tree.path("Region").asText(), this.tree.path("Zone").asText(),
				Math.round(this.tree.path("Limits").path("LinkMbps").asDouble() * BYTES_PER_MEGABIT), graceMillis(),
				versionGraceMillis(this.tree.path("Bounds")));
	}

	private DispatchSettings dispatchSettings(JsonNode bounds) {
		return new DispatchSettings(vm(), this.tree.path("Region").asText(), this.tree.path("Zone").asText(),
				bounds.path("ColdOverage").asDouble(), bounds.path("ColdSlack").asDouble(), LAPSE_GRACE_MILLIS,
				versionGraceMillis(bounds));
	}

	private static long versionGraceMillis(JsonNode bounds) {
		return bounds.path("version_ms").asLong() - VERSION_GRACE_MARGIN_MILLIS;
	}

	private long graceMillis() {
		return this.tree.path("Bounds").path("GraceS").asLong() * MILLIS_PER_SECOND;
	}

	private String ip() {
		return this.tree.path("Ip").asText();
	}

	private int firstPort() {
		return this.tree.path("PortRange").path(0).asInt();
	}

	private int lastPort() {
		return this.tree.path("PortRange").path(1).asInt();
	}

}
