package org.jaywood.peer;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceLimits;
import org.jaywood.config.ServiceSpec;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a status that is complete while a VM is behind, or that lacks the
 * reason.
 */
class FleetStatusTests {

	private static final VmRecord AGENT = new VmRecord("desk-0", "agent", "desk", "doto", "kushiro-a",
			new Address("127.0.0.1", 7100), VmState.LIVE);

	private static AppliedConfiguration targetConfiguration(boolean inService) {
		Deployment deployment = new Deployment(Map.of("kushiro-a", new DataCentre("doto", inService)),
				Map.of("desk",
						new ServiceSpec(ServiceKind.PLAIN, List.of(), List.of("kushiro-a"), ServiceLimits.DEFAULT)),
				Map.of());
		return new AppliedConfiguration(5, "id", "a", 0, deployment.digest(), deployment);
	}

	private static VmStatus status(Map<String, ?> state, boolean inService) {
		return VmStatus.of(AGENT, Json.tree(Json.bytes(state)), targetConfiguration(inService));
	}

	@Nested
	class OneVm {

		@Test
		void showsReportedStateAndReason() {
			VmStatus status = status(
					Map.of("generation", 5, "upstreamState", "fetching", "behindReason", "chunk 3 of 8"), true);
			assertThat(status.upstreamState()).isEqualTo("fetching");
			assertThat(status.behindReason()).isEqualTo("chunk 3 of 8");
		}

		@Test
		void derivesStateThatIsNotReported() {
			assertThat(status(Map.of("generation", 5), true).upstreamState()).isEqualTo("unknown");
			assertThat(status(Map.of("generation", 5, "leaving", true), true).upstreamState()).isEqualTo("draining");
			assertThat(status(Map.of("generation", 5), false).upstreamState()).isEqualTo("out");
		}

		@Test
		void showsOutAndDrainingAlthoughUpstreamIsWarm() {
			Map<String, ?> warm = Map.of("generation", 5, "upstreamState", "warm");
			assertThat(status(warm, false).upstreamState()).isEqualTo("out");
			VmRecord leaving = new VmRecord(AGENT.vm(), AGENT.role(), AGENT.service(), AGENT.region(),
					AGENT.dataCentre(), AGENT.address(), VmState.LEAVING);
			assertThat(VmStatus.of(leaving, Json.tree(Json.bytes(warm)), targetConfiguration(true)).upstreamState())
				.isEqualTo("draining");
		}

		@Test
		void isBehindWithOlderGenerationOrWithoutContact() {
			assertThat(status(Map.of("generation", 4), true).behindReason()).isEqualTo("generation 4 in force");
			assertThat(status(Map.of("generation", 5, "peer", Map.of("isolated", true)), true).behind()).isTrue();
			assertThat(status(Map.of("generation", 5), true).behind()).isFalse();
		}

	}

	@Nested
	class Fleet {

		@Test
		void isCompleteOnlyWhenNoVmIsBehind() {
			VmStatus current = status(Map.of("generation", 5, "upstreamState", "warm"), true);
			assertThat(FleetStatus.of(List.of(current, current), targetConfiguration(true)).complete()).isTrue();
			FleetStatus behind = FleetStatus.of(List.of(current, VmStatus.unreachable(AGENT, "no answer")),
					targetConfiguration(true));
			assertThat(behind.complete()).isFalse();
			assertThat(behind.groups()).hasSize(1);
			assertThat(behind.groups().getFirst().inForce()).isEqualTo(1);
			assertThat(behind.groups().getFirst().upstreams()).containsExactly("unknown", 1L, "warm", 1L);
		}

		@Test
		void showsDeclaredServiceWithoutVm() {
			FleetStatus status = FleetStatus.of(List.of(), targetConfiguration(true));
			assertThat(status.groups()).hasSize(1);
			assertThat(status.groups().getFirst().service()).isEqualTo("desk");
			assertThat(status.groups().getFirst().vms()).isEqualTo(0);
		}

	}

}
