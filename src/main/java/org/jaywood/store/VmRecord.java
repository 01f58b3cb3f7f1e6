package org.jaywood.store;

import org.jaywood.wire.Address;

/**
 * Entry of the platform's list of VMs.
 *
 * @param vm name of the VM
 * @param role role of the jaywood process on it: {@code router} or {@code agent}
 * @param service service of its upstream, or empty
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param address peer port of the process
 * @param state state of the VM
 */
public record VmRecord(String vm, String role, String service, String region, String dataCentre, Address address,
		VmState state) {
}
