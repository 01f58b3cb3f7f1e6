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
	private static final long DOUBT_MILLIS = 5_000;

	private final String dataCentre;

	private final String vm;

	private final Map<Address, String> dataCentres = new ConcurrentHashMap<>();

	private final Map<Address, Long> doubtedSinceMillis = new ConcurrentHashMap<>();

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
		this.dataCentres.put(gateway, gatewayDataCentre);
	}

	void remove(Address gateway) {
		this.dataCentres.remove(gateway);
	}

	/**
	 * Notes that a gateway could not help.
	 * @return whether it could before
	 */
	boolean markUnavailable(Address gateway, long nowMillis) {
		return this.doubtedSinceMillis.put(gateway, nowMillis) == null;
	}

	/**
	 * Notes that a gateway could help.
	 * @return whether it could not before
	 */
	boolean markAvailable(Address gateway) {
		return this.doubtedSinceMillis.remove(gateway) != null;
	}

	/**
	 * The gateways in the order in which they are asked.
	 */
	List<Address> order(long nowMillis) {
		return this.dataCentres.entrySet()
			.stream()
			.sorted(Comparator.<Map.Entry<Address, String>, Boolean>comparing(
					(gateway) -> doubted(gateway.getKey(), nowMillis))
				.thenComparing((gateway) -> !gateway.getValue().equals(this.dataCentre))
				.thenComparing((gateway) -> (gateway.getKey() + this.vm).hashCode()))
			.map(Map.Entry::getKey)
			.toList();
	}

	private boolean doubted(Address gateway, long nowMillis) {
		Long sinceMillis = this.doubtedSinceMillis.get(gateway);
		return sinceMillis != null && nowMillis - sinceMillis < DOUBT_MILLIS;
	}

}
