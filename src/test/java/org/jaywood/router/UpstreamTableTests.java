package org.jaywood.router;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against ejection of upstreams for isolated failures, which leaves a small
 * service without upstreams, and against calls sent to an upstream that fails all of
 * them.
 */
class UpstreamTableTests {

	private static final Address AGENT = new Address("127.0.0.1", 1);

	private final UpstreamTable upstreams = new UpstreamTable();

	private boolean mayAdmit(long nowMillis) {
		return this.upstreams.mayAdmit(AGENT, 1, nowMillis);
	}

	@Test
	void isolatedIndeterminateCallsDoNotEject() {
		for (int i = 0; i < 10; i++) {
			this.upstreams.onIndeterminate(AGENT, 0);
			this.upstreams.onIndeterminate(AGENT, 0);
			assertThat(mayAdmit(0)).isTrue();
			this.upstreams.onAnswered(AGENT);
		}
	}

	@Test
	void consecutiveIndeterminateCallsEjectUntilOneIsAnswered() {
		for (int i = 0; i < 3; i++) {
			this.upstreams.onIndeterminate(AGENT, 0);
		}
		assertThat(mayAdmit(499)).isFalse();
		assertThat(mayAdmit(500)).isTrue();
		this.upstreams.onIndeterminate(AGENT, 500);
		assertThat(mayAdmit(999)).isFalse();
		this.upstreams.onAnswered(AGENT);
		this.upstreams.onIndeterminate(AGENT, 1_000);
		assertThat(mayAdmit(1_000)).isTrue();
	}

	@Test
	void newIncarnationResetsIndeterminateCalls() {
		this.upstreams.onIncarnation(AGENT, "a");
		this.upstreams.onIndeterminate(AGENT, 0);
		this.upstreams.onIndeterminate(AGENT, 0);
		this.upstreams.onIncarnation(AGENT, "b");
		this.upstreams.onIndeterminate(AGENT, 0);
		assertThat(mayAdmit(0)).isTrue();
	}

}
