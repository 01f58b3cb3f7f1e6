package org.jaywood.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against limits of another configuration than the one that the caller knows: an
 * idle connection keeps the longest idle time-out since it became idle.
 */
class ChangedLimitsTests extends ConnectionFixture {

	@Test
	void aRaisedIdleTimeoutAppliesToAnIdleConnection() throws Exception {
		configure(1_000);
		serve();
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		pause(300);
		configure(4_000);
		pause(1_700);
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
	}

	@Test
	void aLoweredIdleTimeoutAppliesAfterTheNextRequest() throws Exception {
		configure(5_000);
		serve();
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		configure(500);
		pause(3_000);
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		long sinceNanos = System.nanoTime();
		assertThat(readResponse()).isEmpty();
		assertThat(Duration.ofNanos(System.nanoTime() - sinceNanos)).isLessThan(Duration.ofMillis(4_000));
	}

	@Test
	void aRaisedHeaderLimitAppliesToOpenConnections() throws Exception {
		configure(5_000, 400);
		serve();
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		configure(5_000, 16_384);
		send("GET /x HTTP/1.1\r\nHost: host\r\nLong: " + "x".repeat(2_000) + "\r\n\r\n");
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
	}

	@Test
	void aLoweredHeaderLimitAppliesToOpenConnections() throws Exception {
		configure(5_000, 16_384);
		serve();
		send(request("/x"));
		assertThat(readResponse()).startsWith("HTTP/1.1 404");
		configure(5_000, 400);
		send("GET /x HTTP/1.1\r\nHost: host\r\nLong: " + "x".repeat(2_000) + "\r\n\r\n");
		assertThat(readResponse()).startsWith("HTTP/1.1 431");
	}

}
