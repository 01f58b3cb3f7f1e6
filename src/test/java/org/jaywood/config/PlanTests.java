package org.jaywood.config;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a plan that omits a change.
 */
class PlanTests {

	private static Deployment deployment(Map<String, DataCentre> dataCentres, int surge) {
		return new Deployment(dataCentres, Map.of("desk", new ServiceSpec(ServiceKind.PLAIN, List.of(),
				List.of("kushiro-a"), new ServiceLimits(surge, 1_000, 1_000))), Map.of());
	}

	@Test
	void listsChangedAddedAndRemovedFields() {
		Deployment before = deployment(
				Map.of("kushiro-a", new DataCentre("doto", true), "gone-a", new DataCentre("doto", true)), 1);
		Deployment after = deployment(
				Map.of("kushiro-a", new DataCentre("doto", false), "new-a", new DataCentre("donan", true)), 2);
		assertThat(Plan.between(before, after).changes().stream().map(Plan.Change::toString).toList())
			.containsExactly("- dataCentres.gone-a.inService: true", "- dataCentres.gone-a.region: doto",
					"~ dataCentres.kushiro-a.inService: true -> false", "+ dataCentres.new-a.inService: true",
					"+ dataCentres.new-a.region: donan", "~ services.desk.limits.surge: 1 -> 2")
			.inOrder();
	}

	@Test
	void isEmptyForEqualDeployments() {
		Deployment same = deployment(Map.of("kushiro-a", new DataCentre("doto", true)), 1);
		assertThat(Plan.between(same, same).changes()).isEmpty();
	}

}
