package org.jaywood.routing;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;

/**
 * Trial of blocked parts: one call with them that is sent to see whether its engine
 * survives.
 *
 * @param parts ids of the parts
 * @param number number of the trial, from 1
 */
public record Trial(Set<String> parts, int number) {

	/**
	 * Returns the name of the lease, the same at all gateways.
	 */
	public String leaseName() {
		byte[] text = String.join(",", new TreeSet<>(this.parts)).getBytes(StandardCharsets.UTF_8);
		return UUID.nameUUIDFromBytes(text) + "-" + this.number;
	}

}
