package org.jaywood.router;

import java.io.IOException;
import java.util.function.LongSupplier;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Reads the bodies of calls within limits of size, time and memory, before an upstream is
 * selected. So a caller that sends slowly uses only its connection and the memory for its
 * body.
 */
final class BodyReader {

	private final RouterLimits limits;

	private final Watchdog watchdog;

	private final LongSupplier clock;

	BodyReader(RouterLimits limits, Watchdog watchdog, LongSupplier clock) {
		this.limits = limits;
		this.watchdog = watchdog;
		this.clock = clock;
	}

	/**
	 * Reads the body of a call and reserves caller memory for it.
	 * @throws MemoryLimitException if the memory budget is used up
	 * @throws BadInputException if the length of the body is negative or above the limit
	 */
	byte[] read(Exchange exchange, MemoryReservation memory) throws IOException {
		int maxBytes = this.limits.maxBodyBytes();
		boolean chunked = exchange.header("Transfer-Encoding") != null;
		long reservedBytes = chunked ? maxBytes : exchange.headerLong("Content-Length", 0);
		if (reservedBytes < 0 || reservedBytes > maxBytes) {
			throw new BadInputException((reservedBytes < 0) ? 400 : 413,
					"body of " + reservedBytes + " bytes is not allowed, the limit is " + maxBytes);
		}
		if (!memory.tryReserve(reservedBytes, this.clock.getAsLong())) {
			throw new MemoryLimitException("the body");
		}
		try (Watchdog.Guard bodyTimeout = this.watchdog.runAfter(this.limits.bodyReadTimeoutMillis(),
				CallerPort.connectionCloser())) {
			byte[] body = exchange.readBody(maxBytes);
			memory.release(reservedBytes - body.length);
			return body;
		}
	}

}
