package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.wire.Address;

/**
 * The gateways that receive reports of an agent, in the order in which the agent polls
 * them: those of its own data centre first, and those that recently did not answer or had
 * no store contact last. Thread-safe.
 */
final class GatewayDirectory {

	/** Time for which a gateway marked unavailable is ordered last. */
	private static final long UNAVAILABLE_MILLIS = 5_000;

	private final String dataCentre;

	private final String vm;

	private final Map<Address, String> gatewayDataCentres = new ConcurrentHashMap<>();

	private final Map<Address, Long> unavailableSinceMillis = new ConcurrentHashMap<>();

	/**
	 * Creates a directory.
	 * @param dataCentre data centre of the agent
	 * @param vm name of the VM, by which agents spread over gateways
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
	 * Marks a gateway that did not answer or had no store contact.
	 * @return whether it was available before
	 */
	boolean markUnavailable(Address gateway, long nowMillis) {
		return this.unavailableSinceMillis.put(gateway, nowMillis) == null;
	}

	/**
	 * Marks a gateway that answered with store contact.
	 * @return whether it was marked unavailable before
	 */
	boolean markAvailable(Address gateway) {
		return this.unavailableSinceMillis.remove(gateway) != null;
	}

	/**
	 * Returns the gateways in the order in which they are polled.
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
		Long markedMillis = this.unavailableSinceMillis.get(gateway);
		return markedMillis != null && nowMillis - markedMillis < UNAVAILABLE_MILLIS;
	}

}
