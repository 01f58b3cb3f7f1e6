package org.jaywood.http;

import org.apache.hc.core5.http.HttpStatus;

/**
 * Response whose body has been read completely.
 *
 * @param status HTTP status
 * @param body the body without its transfer coding
 */
public record BufferedResponse(int status, byte[] body) {

	public boolean ok() {
		return this.status == HttpStatus.SC_OK;
	}

}
