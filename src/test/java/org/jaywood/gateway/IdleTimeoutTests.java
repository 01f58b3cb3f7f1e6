package org.jaywood.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an idle time-out that includes the duration of the call before.
 */
class IdleTimeoutTests extends ConnectionFixture {

	@Test
	void theIdleTimeoutStartsAtTheEndOfTheResponse() throws Exception {
		configure(1_000);
		serve();
		send(request("/slow"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		pause(600);
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
	}

	@Test
	void aConnectionIsClosedAfterTheIdleTimeout() throws Exception {
		configure(500);
		serve();
		send(request("/slow"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		assertThat(readResponse()).isEmpty();
		assertThat(unansweredCount()).isEqualTo(0);
	}

}
