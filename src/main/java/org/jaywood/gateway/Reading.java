package org.jaywood.gateway;

import java.io.IOException;

import org.apache.hc.core5.http.HttpStatus;

import org.jaywood.event.Event;
import org.jaywood.http.BufferedRequest;
import org.jaywood.http.RequestLimits;
import org.jaywood.http.RequestReader;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Result of reading a request of a caller.
 */
sealed interface Reading {

	/** Response to a request that does not fit into the memory budget. */
	CallFailure NO_MEMORY = new CallFailure.NotRun("memory", 1_000);

	/**
	 * Reads a request. Any failure other than the end of the connection is reported to
	 * the caller.
	 * @param memory charged for the request
	 */
	static Reading read(RequestReader reader, RequestLimits limits, MemoryReservation memory, GatewayContext context) {
		try {
			BufferedRequest request = reader.read(limits, memory);
			return (request != null) ? new Complete(request) : new CallerGone("closed");
		}
		catch (MemoryLimitException ex) {
			return new Failed(NO_MEMORY);
		}
		catch (BadInputException ex) {
			return new Failed(new CallFailure.ClientError(ex.status(), String.valueOf(ex.getMessage())));
		}
		catch (RuntimeException ex) {
			logFailure(ex, context);
			return new Failed(new CallFailure.ClientError(HttpStatus.SC_BAD_REQUEST, "malformed request"));
		}
		catch (Error ex) {
			logFailure(ex, context);
			return new Failed(RequestHandler.INTERNAL_ERROR);
		}
		catch (IOException ex) {
			context.metrics().counter("connection.broken").inc();
			return new CallerGone(String.valueOf(ex.getMessage()));
		}
	}

	private static void logFailure(Throwable failure, GatewayContext context) {
		context.log().log(Event.HANDLER_FAILED, "method", "reading", "path", "of a request", "error", failure);
	}

	/**
	 * The request was read whole.
	 *
	 * @param request the request
	 */
	record Complete(BufferedRequest request) implements Reading {
	}

	/**
	 * The request cannot be served.
	 *
	 * @param failure response to the caller, after which the connection is closed
	 */
	record Failed(CallFailure failure) implements Reading {
	}

	/**
	 * The connection ended before a complete request.
	 *
	 * @param error how it ended
	 */
	record CallerGone(String error) implements Reading {
	}

}
