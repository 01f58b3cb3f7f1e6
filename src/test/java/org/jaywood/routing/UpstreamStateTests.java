package org.jaywood.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine that gets no more calls because its reports ended when this
 * gateway unsubscribed from it.
 */
class UpstreamStateTests {

	private static final long NOW = 100_000;

	private static final long SILENCE_MILLIS = 5_000;

	@Test
	void unsubscribedEngineIsResponsiveWithoutReports() {
		UpstreamState state = new UpstreamState(RoutingFixtures.engine("a"), NOW);
		state.setSubscribed(true);
		state.onReport(new UpstreamReport("a", 0, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)), NOW);
		state.setSubscribed(false);
		assertThat(state.responsive(NOW + SILENCE_MILLIS)).isTrue();
	}

}
