package org.jaywood.wire;

import java.io.IOException;

/**
 * Handles one request.
 */
@FunctionalInterface
public interface Handler {

	void handle(Exchange exchange) throws IOException, InterruptedException;

}
