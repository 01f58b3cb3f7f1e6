package org.jaywood.peer;

import java.util.Arrays;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;

/**
 * Rule for ports without a credential: a process that listens on a non-loopback address
 * opens its peer and operator ports only with a credential.
 */
public final class PortPolicy {

	private PortPolicy() {
	}

	/**
	 * Returns the first address because of which peer and operator ports must stay
	 * closed, if any.
	 * @param credential credential of the process, or null
	 * @param bound all addresses that the process listens on
	 */
	public static Optional<Address> violation(@Nullable Credential credential, Address... bound) {
		return (credential != null) ? Optional.empty()
				: Arrays.stream(bound).filter((address) -> !address.host().startsWith("127.")).findFirst();
	}

}
