package org.jaywood.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.jaywood.Failures;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against plots that mix series or silently drop all results.
 */
class ResultPlotTests {

	private static final String LINES = """
			{"experiment":"burst","mode":"tree","replicas":10,"verifiedSeconds":2.0}
			{"experiment":"burst","mode":"store","replicas":10,"verifiedSeconds":5.0}
			{"experiment":"burst","mode":"tree","replicas":20,"verifiedSeconds":2.2}
			""";

	@Nested
	class Draw {

		@Test
		void makesOneSeriesForEachGroup() {
			List<JsonNode> results = LINES.lines().map((line) -> Json.read(line, JsonNode.class)).toList();
			assertThat(ResultPlot.draw(results, "replicas", "verifiedSeconds", "mode").getSeriesMap().keySet())
				.containsExactly("tree", "store");
		}

		@Test
		void rejectsFieldsThatNoResultHas() {
			IllegalArgumentException failure = Failures.thrownBy(IllegalArgumentException.class,
					() -> ResultPlot.draw(List.of(), "replicas", "verifiedSeconds", "mode"));
			assertThat(failure).hasMessageThat().contains("verifiedSeconds");
		}

	}

	@Nested
	class Run {

		@Test
		void writesPng(@TempDir Path directory) throws Exception {
			Path input = Files.writeString(directory.resolve("results.jsonl"), LINES);
			Path output = directory.resolve("plot.png");
			int status = new ResultPlot().run(new ExperimentOptions(Profile.KITAMORI, 1, 0, 0, 1, output,
					List.of(input.toString(), "replicas", "verifiedSeconds", "mode")));
			assertThat(status).isEqualTo(0);
			assertThat(Files.size(output)).isGreaterThan(1_000L);
		}

	}

}
