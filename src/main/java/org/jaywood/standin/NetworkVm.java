package org.jaywood.standin;

import java.util.List;

import org.jaywood.wire.Address;

/**
 * A VM of the network stand-in.
 *
 * @param vm name
 * @param host IP number from which the VM opens its connections
 * @param region region
 * @param dataCentre data centre
 * @param linkBytesPerSecond rate of its link, up and down each, 0 for unlimited
 * @param listeners advertised addresses
 */
record NetworkVm(String vm, String host, String region, String dataCentre, long linkBytesPerSecond,
		List<Listener> listeners) {

	NetworkVm {
		listeners = (listeners != null) ? List.copyOf(listeners) : List.of();
	}

	/**
	 * A sender that the topology does not name. It is not shaped.
	 */
	static NetworkVm unknown(String host) {
		return new NetworkVm("unknown", host, "", "", 0, List.of());
	}

	/**
	 * Whether a selector names this VM, its data centre or its region, or is {@code *}.
	 */
	boolean matches(String selector) {
		return selector.equals("*") || selector.equals(this.vm) || selector.equals(this.dataCentre)
				|| selector.equals(this.region);
	}

	/**
	 * An advertised address and the real one behind it.
	 */
	record Listener(Address listen, Address target) {
	}

}
