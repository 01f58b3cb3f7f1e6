package org.jaywood.wire;

import java.io.IOException;

/**
 * Answers one request.
 */
@FunctionalInterface
public interface Handler {

	void handle(Exchange exchange) throws IOException, InterruptedException;

}
