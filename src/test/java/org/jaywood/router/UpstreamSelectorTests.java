package org.jaywood.router;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceLimits;
import org.jaywood.config.ServiceSpec;
import org.jaywood.peer.Membership;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.store.VmPage;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.LoadReport;
import org.jaywood.wire.Refusal;
import org.jaywood.wire.RefusalReason;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls sent over slow region links, to loaded upstreams or to data
 * centres out of service while better upstreams exist.
 */
class UpstreamSelectorTests {

	private final UpstreamTable upstreams = new UpstreamTable();

	private final Membership membership = new Membership();

	private final ByteRateLimiter regionRateLimiter = new ByteRateLimiter(1_000, 0);

	private static VmRecord agent(int number, String region, String dataCentre) {
		return new VmRecord("vm-" + number, "agent", "service", region, dataCentre, new Address("127.0.0.1", number),
				VmState.LIVE);
	}

	private static AppliedConfiguration configuration(long generation, boolean ownInService) {
		Map<String, DataCentre> dataCentres = Map.of("own", new DataCentre("here", ownInService), "near",
				new DataCentre("here", true), "far", new DataCentre("there", true));
		ServiceSpec spec = new ServiceSpec(ServiceKind.MODEL, List.of(), List.of("own", "near", "far"),
				ServiceLimits.DEFAULT);
		Deployment deployment = new Deployment(dataCentres, Map.of("service", spec), Map.of());
		return new AppliedConfiguration(generation, "", "", 0, "", deployment);
	}

	private static Call call(String affinity) {
		return new Call("id", "service", "", 5, new byte[0], null, true, affinity, 1_000_000);
	}

	private UpstreamSelector selector(int subsetSize, VmRecord... agents) {
		this.membership.merge(new VmPage(1, List.of(agents)));
		ProcessIdentity identity = new ProcessIdentity("router", "entry", "here", "own", "r",
				new Address("127.0.0.1", 9_999));
		return new UpstreamSelector(identity, this.membership, this.upstreams, this.regionRateLimiter, subsetSize,
				new Random(1));
	}

	private String chosen(UpstreamSelector selector, AppliedConfiguration configuration, long nowMillis) {
		return selector.choose(call("prompt"), configuration, Set.of(), nowMillis).map(VmRecord::vm).orElse("none");
	}

	private void reportLoad(int number, int inFlight, int limit) {
		this.upstreams.onLoadReport(new Address("127.0.0.1", number),
				new LoadReport(inFlight, limit, false, 0, 0, true, ""), 0);
	}

	@Test
	void nearestTierWithCapacityIsChosen() {
		UpstreamSelector selector = selector(32, agent(1, "here", "own"), agent(2, "here", "near"),
				agent(3, "there", "far"));
		assertThat(chosen(selector, configuration(1, true), 0)).isEqualTo("vm-1");
		assertThat(chosen(selector, configuration(1, false), 0)).isEqualTo("vm-2");
		reportLoad(2, 4, 4);
		assertThat(chosen(selector, configuration(1, false), 0)).isEqualTo("vm-3");
	}

	@Test
	void exhaustedRegionLimitExcludesOtherRegions() {
		UpstreamSelector selector = selector(32, agent(3, "there", "far"));
		this.regionRateLimiter.consume(2_000);
		assertThat(chosen(selector, configuration(1, true), 0)).isEqualTo("none");
		assertThat(chosen(selector, configuration(1, true), 1_500)).isEqualTo("vm-3");
	}

	@Test
	void samePrefixUsesOneUpstreamUntilItIsLoaded() {
		UpstreamSelector selector = selector(32,
				IntStream.rangeClosed(1, 8)
					.mapToObj((number) -> agent(number, "here", "own"))
					.toArray(VmRecord[]::new));
		String preferred = chosen(selector, configuration(1, true), 0);
		assertThat(chosen(selector, configuration(1, true), 0)).isEqualTo(preferred);
		reportLoad(Integer.parseInt(preferred.substring(3)), 95, 100);
		Set<String> others = IntStream.range(0, 50)
			.mapToObj((round) -> chosen(selector, configuration(1, true), 0))
			.collect(Collectors.toSet());
		assertThat(others.size()).isGreaterThan(3);
	}

	@Test
	void callsUseOneFixedSubsetOfUpstreams() {
		UpstreamSelector selector = selector(4,
				IntStream.rangeClosed(1, 100)
					.mapToObj((number) -> agent(number, "here", "own"))
					.toArray(VmRecord[]::new));
		Set<String> used = IntStream.range(0, 1_000)
			.mapToObj((round) -> selector.choose(call("prompt " + round), configuration(1, true), Set.of(), 0)
				.orElseThrow()
				.vm())
			.collect(Collectors.toSet());
		assertThat(used).hasSize(4);
	}

	@Test
	void agentOutOfServiceIsUsedOnlyUnderNewerConfiguration() {
		UpstreamSelector selector = selector(32, agent(1, "here", "own"));
		this.upstreams.onRefusal(new Address("127.0.0.1", 1), new Refusal(RefusalReason.DATA_CENTRE_OUT, 0), 7, 0);
		assertThat(chosen(selector, configuration(6, true), 60_000)).isEqualTo("none");
		assertThat(chosen(selector, configuration(7, true), 60_000)).isEqualTo("none");
		assertThat(chosen(selector, configuration(8, true), 60_000)).isEqualTo("vm-1");
	}

	@Test
	void drainingAgentIsUsedAfterItsRestart() {
		UpstreamSelector selector = selector(32, agent(1, "here", "own"));
		Address address = new Address("127.0.0.1", 1);
		this.upstreams.onIncarnation(address, "before");
		this.upstreams.onRefusal(address, new Refusal(RefusalReason.DRAINING, 0), 1, 0);
		assertThat(chosen(selector, configuration(1, true), 1_000)).isEqualTo("none");
		this.upstreams.onIncarnation(address, "after");
		assertThat(chosen(selector, configuration(1, true), 1_000)).isEqualTo("vm-1");
	}

}
