package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.wire.Address;

/**
 * The gateways that receive reports of an agent, in the order in which the agent asks
 * them for news: those of its own data centre first, and those that lately did not answer
 * or had lost the store last. Safe for use by several threads.
 */
final class GatewayDirectory {

	/** Time after which a gateway that could not help is asked in its turn again. */
	private static final long UNAVAILABLE_MILLIS = 5_000;

	private final String dataCentre;

	private final String vm;

	private final Map<Address, String> gatewayDataCentres = new ConcurrentHashMap<>();

	private final Map<Address, Long> unavailableSinceMillis = new ConcurrentHashMap<>();

	/**
	 * Creates a directory.
	 * @param dataCentre data centre of the agent
	 * @param vm name of the VM, which spreads agents over gateways
	 */
	GatewayDirectory(String dataCentre, String vm) {
		this.dataCentre = dataCentre;
		this.vm = vm;
	}

	void add(Address gateway, String gatewayDataCentre) {
		this.gatewayDataCentres.put(gateway, gatewayDataCentre);
	}

	void remove(Address gateway) {
		this.gatewayDataCentres.remove(gateway);
	}

	/**
	 * Notes that a gateway could not help.
	 * @return whether it could before
	 */
	boolean markUnavailable(Address gateway, long nowMillis) {
		return this.unavailableSinceMillis.put(gateway, nowMillis) == null;
	}

	/**
	 * Notes that a gateway could help.
	 * @return whether it could not before
	 */
	boolean markAvailable(Address gateway) {
		return this.unavailableSinceMillis.remove(gateway) != null;
	}

	/**
	 * The gateways in the order in which they are asked.
	 */
	List<Address> pollOrder(long nowMillis) {
		return this.gatewayDataCentres.entrySet()
			.stream()
			.sorted(Comparator.<Map.Entry<Address, String>, Boolean>comparing(
					(gateway) -> isUnavailable(gateway.getKey(), nowMillis))
				.thenComparing((gateway) -> !gateway.getValue().equals(this.dataCentre))
				.thenComparing((gateway) -> (gateway.getKey() + this.vm).hashCode()))
			.map(Map.Entry::getKey)
			.toList();
	}

	private boolean isUnavailable(Address gateway, long nowMillis) {
		Long sinceMillis = this.unavailableSinceMillis.get(gateway);
		return sinceMillis != null && nowMillis - sinceMillis < UNAVAILABLE_MILLIS;
	}

}
