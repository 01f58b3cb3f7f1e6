package org.jaywood.http;

import org.apache.hc.core5.http.HttpStatus;

/**
 * Answer that was read whole.
 *
 * @param status status of the answer
 * @param body its body
 */
public record BufferedResponse(int status, byte[] body) {

	public boolean ok() {
		return this.status == HttpStatus.SC_OK;
	}

}
