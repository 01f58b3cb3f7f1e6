package org.jaywood.http;

import org.apache.hc.core5.http.ClassicHttpRequest;

/**
 * Request whose body has been read completely.
 *
 * @param head request line and headers
 * @param body the body without its transfer coding
 */
public record BufferedRequest(ClassicHttpRequest head, byte[] body) {
}
