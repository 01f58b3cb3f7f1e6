package org.jaywood.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;

import org.jaywood.wire.Exchange;

/**
 * Writes the metrics of a process as lines of name and value.
 */
public final class MetricsText {

	private MetricsText() {
	}

	/**
	 * Responds with all values, one per line. A histogram has several values.
	 */
	public static void respond(Exchange exchange, MetricRegistry metrics) throws IOException {
		exchange.respond(200, "text/plain; version=0.0.4", text(metrics).getBytes(StandardCharsets.UTF_8));
	}

	static String text(MetricRegistry metrics) {
		return ProcessMetrics.report(metrics)
			.entrySet()
			.stream()
			.map((entry) -> line(entry.getKey(), entry.getValue()))
			.collect(Collectors.joining());
	}

	private static String line(String name, Object value) {
		String plain = name.replaceAll("[^a-zA-Z0-9_]", "_");
		if (value instanceof Map<?, ?> parts) {
			return parts.entrySet()
				.stream()
				.map((part) -> plain + "_" + part.getKey() + " " + part.getValue() + "\n")
				.sorted()
				.collect(Collectors.joining());
		}
		return plain + " " + value + "\n";
	}

}
