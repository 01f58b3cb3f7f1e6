package org.jaywood.router;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against upstreams that are left out because single calls of theirs fail, which
 * leaves a small service without any, and against calls sent on to one that fails all.
 */
class UpstreamTableTests {

	private static final Address AGENT = new Address("127.0.0.1", 1);

	private final UpstreamTable table = new UpstreamTable();

	private boolean usable(long nowMillis) {
		return this.table.usable(AGENT, 1, nowMillis);
	}

	@Test
	void singleBrokenCallsDoNotPause() {
		for (int i = 0; i < 10; i++) {
			this.table.onIndeterminate(AGENT, 0);
			this.table.onIndeterminate(AGENT, 0);
			assertThat(usable(0)).isTrue();
			this.table.onAnswered(AGENT);
		}
	}

	@Test
	void brokenCallsInARowPauseUntilOneIsAnswered() {
		for (int i = 0; i < 3; i++) {
			this.table.onIndeterminate(AGENT, 0);
		}
		assertThat(usable(499)).isFalse();
		assertThat(usable(500)).isTrue();
		this.table.onIndeterminate(AGENT, 500);
		assertThat(usable(999)).isFalse();
		this.table.onAnswered(AGENT);
		this.table.onIndeterminate(AGENT, 1_000);
		assertThat(usable(1_000)).isTrue();
	}

	@Test
	void newIncarnationBeginsAnew() {
		this.table.onIncarnation(AGENT, "a");
		this.table.onIndeterminate(AGENT, 0);
		this.table.onIndeterminate(AGENT, 0);
		this.table.onIncarnation(AGENT, "b");
		this.table.onIndeterminate(AGENT, 0);
		assertThat(usable(0)).isTrue();
	}

}
