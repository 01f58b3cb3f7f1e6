package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

import org.jaywood.wire.Json;

/**
 * Draws a PNG chart of the result lines that experiments append to a file, with one
 * series for each value of a grouping field. Arguments: the file, the field of the x
 * axis, the field of the y axis, the grouping field.
 */
public final class ResultPlot implements Experiment {

	private static final int WIDTH_PIXELS = 900;

	private static final int HEIGHT_PIXELS = 550;

	private static final String USAGE = "expected: bench plot FILE X-FIELD Y-FIELD GROUP-FIELD --output PNG";

	@Override
	public String name() {
		return "plot";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException {
		if (options.arguments().size() != 4 || options.output() == null) {
			throw new IllegalArgumentException(USAGE);
		}
		List<String> arguments = options.arguments();
		List<JsonNode> results = read(Path.of(arguments.get(0)));
		XYChart chart = draw(results, arguments.get(1), arguments.get(2), arguments.get(3));
		BitmapEncoder.saveBitmap(chart, options.output().toString(), BitmapEncoder.BitmapFormat.PNG);
		System.out.println("wrote " + options.output());
		return 0;
	}

	private static List<JsonNode> read(Path file) throws IOException {
		return Files.readAllLines(file)
			.stream()
			.filter((line) -> !line.isBlank())
			.map((line) -> Json.read(line, JsonNode.class))
			.toList();
	}

	/**
	 * Draws a chart of results.
	 * @param results result lines; those without both numeric fields are skipped
	 * @param xField numeric field of the x axis
	 * @param yField numeric field of the y axis
	 * @param groupField field whose values name the series
	 * @return the chart
	 */
	static XYChart draw(List<JsonNode> results, String xField, String yField, String groupField) {
		XYChart chart = new XYChartBuilder().width(WIDTH_PIXELS)
			.height(HEIGHT_PIXELS)
			.title(yField + " by " + xField)
			.xAxisTitle(xField)
			.yAxisTitle(yField)
			.build();
		Map<String, List<JsonNode>> groups = results.stream()
			.filter((result) -> result.path(xField).isNumber() && result.path(yField).isNumber())
			.collect(Collectors.groupingBy((result) -> result.path(groupField).asText("all"), LinkedHashMap::new,
					Collectors.toList()));
		if (groups.isEmpty()) {
			throw new IllegalArgumentException(
					"none of " + results.size() + " results has both numeric fields " + xField + " and " + yField);
		}
		groups.forEach((group, members) -> chart.addSeries(group.isEmpty() ? "all" : group, values(members, xField),
				values(members, yField)));
		return chart;
	}

	private static List<Double> values(List<JsonNode> results, String field) {
		return results.stream().map((result) -> result.path(field).asDouble()).toList();
	}

}
