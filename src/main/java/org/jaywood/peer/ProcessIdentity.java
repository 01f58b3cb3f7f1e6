package org.jaywood.peer;

import org.jaywood.wire.Address;

/**
 * Identity of a process.
 *
 * @param role {@code router} or {@code agent}
 * @param vm name of its VM
 * @param region region of its VM
 * @param dataCentre data centre of its VM
 * @param incarnation random id, new at each start
 * @param address peer address under which others reach it
 */
public record ProcessIdentity(String role, String vm, String region, String dataCentre, String incarnation,
		Address address) {
}
