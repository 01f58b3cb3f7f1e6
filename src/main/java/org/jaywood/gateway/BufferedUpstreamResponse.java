package org.jaywood.gateway;

import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Response of an upstream that was read whole.
 *
 * @param head status and headers
 * @param body the body
 */
record BufferedUpstreamResponse(ClassicHttpResponse head, byte[] body) {
}
