package org.jaywood.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a parser that accepts an invalid deployment file or reports only its
 * first error.
 */
class DeploymentParserTests {

	private static final String MANIFEST = "a".repeat(64);

	private static final String VALID = """
			dataCentres:
			  kushiro-a: {region: doto}
			  asahikawa-a: {region: dohoku, inService: false}
			services:
			  pool:
			    kind: model
			    weights:
			      - {name: base, version: 1.10, manifest: %s}
			    dataCentres: [kushiro-a, asahikawa-a]
			    limits: {surge: 2, deadlineMillis: 30000}
			  visit-desk:
			    kind: plain
			    dataCentres: [kushiro-a]
			workspaces:
			  north: {share: 3}
			""".formatted(MANIFEST);

	private final DeploymentParser parser = new DeploymentParser();

	private List<String> errors(String yaml) {
		return Failures
			.thrown(InvalidDeploymentException.class, () -> this.parser.parse(yaml.getBytes(StandardCharsets.UTF_8)))
			.errors()
			.stream()
			.map(DeploymentError::toString)
			.toList();
	}

	private String singleError(String... replacements) {
		String yaml = VALID;
		for (int i = 0; i < replacements.length; i += 2) {
			assertThat(yaml).contains(replacements[i]);
			yaml = yaml.replace(replacements[i], replacements[i + 1]);
		}
		List<String> errors = errors(yaml);
		assertThat(errors).hasSize(1);
		return errors.getFirst();
	}

	@Nested
	class ValidFile {

		private final Deployment deployment = DeploymentParserTests.this.parser
			.parse(VALID.getBytes(StandardCharsets.UTF_8));

		@Test
		void keepsDeclaredValues() {
			assertThat(this.deployment.dataCentres()).containsExactly("kushiro-a", new DataCentre("doto", true),
					"asahikawa-a", new DataCentre("dohoku", false));
			assertThat(this.deployment.services().get("pool"))
				.isEqualTo(new ServiceSpec(ServiceKind.MODEL, List.of(new WeightsRef("base", "1.10", MANIFEST)),
						List.of("kushiro-a", "asahikawa-a"), new ServiceLimits(2, 30_000, 1_048_576)));
			assertThat(this.deployment.workspaces()).containsExactly("north", new WorkspaceSpec(3));
		}

		@Test
		void fillsDefaults() {
			assertThat(this.deployment.services().get("visit-desk"))
				.isEqualTo(new ServiceSpec(ServiceKind.PLAIN, List.of(), List.of("kushiro-a"), ServiceLimits.DEFAULT));
		}

	}

	@Nested
	class Fields {

		@Test
		void rejectsUnknownField() {
			assertThat(singleError("surge: 2", "surges: 2"))
				.isEqualTo("line 10, services.pool.limits.surges: unknown field, allowed are "
						+ "[bodyBytes, deadlineMillis, surge]");
		}

		@Test
		void rejectsWrongType() {
			assertThat(singleError("surge: 2", "surge: many"))
				.isEqualTo("line 10, services.pool.limits.surge: wrong type: expected a whole number, not 'many'");
			assertThat(singleError("inService: false", "inService: maybe")).isEqualTo(
					"line 3, dataCentres.asahikawa-a.inService: wrong type: expected true or false, " + "not 'maybe'");
			assertThat(singleError("dataCentres: [kushiro-a, asahikawa-a]", "dataCentres: kushiro-a"))
				.startsWith("line 9, services.pool.dataCentres: ");
		}

		@Test
		void rejectsDuplicateKey() {
			assertThat(singleError("  visit-desk:", "  pool:"))
				.isEqualTo("line 11, services.pool: duplicate key, already given in line 5");
		}

		@Test
		void rejectsMissingField() {
			assertThat(singleError("{region: doto}", "{}")).startsWith("line 2, dataCentres.kushiro-a: field 'region'");
		}

	}

	@Nested
	class Names {

		@Test
		void rejectsIllegalCharacters() {
			assertThat(singleError("  visit-desk:", "  visit/desk:"))
				.startsWith("line 11, services.visit/desk: name 'visit/desk' is not allowed");
			assertThat(singleError("  north:", "  North:")).startsWith("line 15, workspaces.North: name");
		}

		@Test
		void rejectsUnknownDataCentre() {
			assertThat(singleError("[kushiro-a]", "[kushiro-b]"))
				.isEqualTo("line 13, services.visit-desk.dataCentres[0]: unknown data centre 'kushiro-b', "
						+ "declared are [asahikawa-a, kushiro-a]");
		}

		@Test
		void rejectsDataCentreListedTwice() {
			assertThat(singleError("[kushiro-a]", "[kushiro-a, kushiro-a]")).contains("listed twice");
		}

	}

	@Nested
	class Weights {

		@Test
		void rejectsModelWithoutWeights() {
			assertThat(singleError("kind: plain", "kind: model"))
				.startsWith("line 11, services.visit-desk: model service without weights");
		}

		@Test
		void rejectsPlainServiceWithWeights() {
			assertThat(singleError("kind: model", "kind: plain"))
				.isEqualTo("line 7, services.pool.weights: a plain service has no weights");
		}

		@Test
		void rejectsManifestThatIsNotADigest() {
			assertThat(singleError(MANIFEST, "a".repeat(63)))
				.endsWith("is not allowed: expected 64 lower-case hex digits");
			assertThat(singleError(MANIFEST, "g".repeat(64))).startsWith("line 8, services.pool.weights[0].manifest");
		}

	}

	@Nested
	class Limits {

		@Test
		void rejectsZeroAndNegativeLimits() {
			assertThat(singleError("surge: 2", "surge: 0"))
				.isEqualTo("line 10, services.pool.limits.surge: value 0 is not allowed: expected 1 to 10000");
			assertThat(singleError("deadlineMillis: 30000", "deadlineMillis: -1"))
				.startsWith("line 10, services.pool.limits.deadlineMillis: value -1 is not allowed");
		}

		@Test
		void rejectsNumberThatIsTooLarge() {
			assertThat(singleError("surge: 2", "surge: 99999999999999999999")).contains("is not allowed");
		}

		@Test
		void rejectsShareBelowOne() {
			assertThat(singleError("share: 3", "share: 0")).startsWith("line 15, workspaces.north.share: value 0");
		}

	}

	@Nested
	class WholeFile {

		@Test
		void rejectsServiceWithoutDataCentres() {
			assertThat(singleError("[kushiro-a]", "[]"))
				.isEqualTo("line 13, services.visit-desk.dataCentres: service without data centres: "
						+ "expected at least one");
		}

		@Test
		void rejectsFileWithoutDataCentre() {
			assertThat(errors("dataCentres: {}"))
				.containsExactly("line 1, dataCentres: no data centre: expected at least one");
			assertThat(errors("services: {}").getFirst()).contains("field 'dataCentres' is missing");
		}

		@Test
		void rejectsOversizedFile() {
			byte[] file = new byte[DeploymentParser.MAX_FILE_BYTES + 1];
			Arrays.fill(file, (byte) '#');
			InvalidDeploymentException failure = Failures.thrown(InvalidDeploymentException.class,
					() -> DeploymentParserTests.this.parser.parse(file));
			assertThat(failure).hasMessageThat().contains("too large");
		}

		@Test
		void rejectsFileThatIsNotAMapping() {
			assertThat(errors("").getFirst()).contains("file is empty");
			assertThat(errors("- a").getFirst()).contains("expected a mapping of fields, not a list");
			assertThat(errors("dataCentres: {a").getFirst()).startsWith("line 1: not valid YAML");
		}

		@Test
		void rejectsNestedAliases() {
			String bomb = "a: &a [x, x]\nb: &b [" + "*a, ".repeat(30) + "*a]\n";
			assertThat(errors(bomb).getFirst()).contains("not valid YAML");
		}

		@Test
		void reportsAllErrorsInOrder() {
			List<String> errors = errors("""
					dataCentres:
					  kushiro-a: {region: doto, inservice: false}
					services:
					  pool:
					    kind: model
					    dataCentres: [nowhere]
					    limits: {surge: 0, deadlineMillis: soon}
					workspaces:
					  north: {share: -1}
					owner: me
					""");
			assertThat(errors.stream().map((error) -> error.substring(0, error.indexOf(": "))).toList())
				.containsExactly("line 2, dataCentres.kushiro-a.inservice", "line 4, services.pool",
						"line 6, services.pool.dataCentres[0]", "line 7, services.pool.limits.surge",
						"line 7, services.pool.limits.deadlineMillis", "line 9, workspaces.north.share",
						"line 10, owner")
				.inOrder();
		}

	}

}
