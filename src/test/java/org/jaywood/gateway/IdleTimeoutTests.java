package org.jaywood.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a rest that is shortened by the call before it.
 */
class IdleTimeoutTests extends ConnectionFixture {

	@Test
	void theIdleTimeoutStartsAtTheEndOfTheResponse() throws Exception {
		configure(1_000);
		serve();
		send(request("/slow"));
		assertThat(readAnswer()).startsWith("HTTP/1.1 404");
		pause(600);
		send(request("/x"));
		assertThat(readAnswer()).startsWith("HTTP/1.1 404");
	}

	@Test
	void aConnectionIsClosedAfterTheIdleTimeout() throws Exception {
		configure(500);
		serve();
		send(request("/slow"));
		assertThat(readAnswer()).startsWith("HTTP/1.1 404");
		assertThat(readAnswer()).isEmpty();
		assertThat(unansweredCount()).isEqualTo(0);
	}

}
