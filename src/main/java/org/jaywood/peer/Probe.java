package org.jaywood.peer;

import org.jaywood.wire.Address;

/**
 * Message that two processes exchange in a probe, as request and as response.
 *
 * @param incarnation incarnation of the sender
 * @param role role of the sender
 * @param vm VM of the sender
 * @param dataCentre data centre of the sender
 * @param address peer address of the sender
 * @param generation generation in force at the sender
 * @param digest digest of the configuration in force at the sender
 * @param membershipVersion version of the list of VMs at the sender
 * @param leaving whether the sender refuses new work because it stops
 */
public record Probe(String incarnation, String role, String vm, String dataCentre, Address address, long generation,
		String digest, long membershipVersion, boolean leaving) {
}
