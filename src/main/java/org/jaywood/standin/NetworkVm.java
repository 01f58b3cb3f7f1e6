package org.jaywood.standin;

import java.util.List;

import org.jaywood.wire.Address;

/**
 * Simulated VM of the network stand-in.
 *
 * @param vm name
 * @param host IP address from which the VM opens its connections
 * @param region name of the region, empty for a VM that is not in the topology
 * @param dataCentre name of the data centre, empty for a VM that is not in the topology
 * @param linkBytesPerSecond rate of its link in each direction, 0 for unlimited
 * @param listeners addresses at which the stand-in accepts connections to the VM, each
 * with the address to which it forwards them
 */
record NetworkVm(String vm, String host, String region, String dataCentre, long linkBytesPerSecond,
		List<Listener> listeners) {

	NetworkVm {
		listeners = (listeners != null) ? List.copyOf(listeners) : List.of();
	}

	/**
	 * Returns a VM for an address that is not in the topology. Its traffic is neither
	 * delayed nor limited in rate.
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
	 * Address at which the stand-in listens, and the address that it forwards to.
	 *
	 * @param listen address at which the stand-in listens in place of the VM
	 * @param target address at which the process of the VM listens
	 */
	record Listener(Address listen, Address target) {
	}

}
