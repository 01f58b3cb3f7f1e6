package org.jaywood.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Slope.Point;
import org.jaywood.wire.Json;

/**
 * Measures processor time, memory and control traffic of one router and one agent as the
 * list of VMs and the rate of configuration changes grow. Listed VMs without a process
 * share the addresses of the real agents, so that probes to them are answered.
 */
public final class CapacityExperiment implements Experiment {

	private static final int[] LISTED_VM_COUNTS = { 100, 600, 1_970 };

	private static final double[] CHANGES_PER_SECOND = { 0.2, 0.5, 1 };

	/**
	 * Data centre of the listed VMs without a process. In a data centre with real
	 * processes they would be elected as watchers, and then no change would reach a
	 * process.
	 */
	private static final String PROCESSLESS_DATA_CENTRE = "listed-only";

	/** Time-out in which a change must be in force at all processes. */
	private static final long APPLY_TIMEOUT_MILLIS = 7_000;

	/** Time after which start-up work no longer adds to the measured processor time. */
	private static final long WARM_UP_MILLIS = 6_000;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	@Override
	public String name() {
		return "capacity";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		List<Sample> bySize = new ArrayList<>();
		List<Sample> byRate = new ArrayList<>();
		try (Installation installation = Installation.start(options.profile(), 1)) {
			String manifest = installation.addWeights("1", 262_144, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitGeneration(1, 20_000);
			for (int size : LISTED_VM_COUNTS) {
				listVms(installation, size);
				TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
				bySize.add(measure(installation, size, options.seconds(), 0, manifest));
			}
			for (double rate : CHANGES_PER_SECOND) {
				byRate.add(measure(installation, rate, options.seconds(), rate, manifest));
			}
		}
		print("listedVms", bySize, options);
		print("changesPerSecond", byRate, options);
		return 0;
	}

	private static void listVms(Installation installation, int size) throws IOException, InterruptedException {
		List<Member> agents = installation.agents();
		for (int i = agents.size() + installation.routers().size(); i < size; i++) {
			Member real = agents.get(i % agents.size());
			String vm = String.format(Locale.ROOT, "listed-%04d", i);
			byte[] entry = Json
				.bytes(Map.of("vm", vm, "role", "agent", "service", "listed-only", "region", real.region(),
						"dataCentre", PROCESSLESS_DATA_CENTRE, "address", real.advertised(), "state", "LIVE"));
			installation.client()
				.send(installation.client()
					.request(installation.platform().uri("/vms/" + vm), REQUEST_TIMEOUT)
					.PUT(BodyPublishers.ofByteArray(entry))
					.build());
		}
	}

	private static Sample measure(Installation installation, double size, int seconds, double changesPerSecond,
			String manifest) throws IOException, InterruptedException {
		Counters before = Counters.of(installation);
		long startNanos = System.nanoTime();
		int changes = (int) Math.round(changesPerSecond * seconds);
		long generation = 0;
		for (int i = 0; i < changes; i++) {
			generation = installation.apply(installation.deployment("1", manifest)).generation();
			sleepUntil(startNanos + (long) ((i + 1) / changesPerSecond * 1e9));
		}
		sleepUntil(startNanos + TimeUnit.SECONDS.toNanos(seconds));
		double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
		Sample sample = Sample.between(before, Counters.of(installation), elapsedSeconds, size);
		// Fails the measurement if the changes of the window did not reach all processes.
		installation.awaitGeneration(generation, APPLY_TIMEOUT_MILLIS);
		return sample;
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		long leftNanos = nanos - System.nanoTime();
		if (leftNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(leftNanos);
		}
	}

	private static void print(String sizeField, List<Sample> samples, ExperimentOptions options) throws IOException {
		samples.forEach((sample) -> System.out.println(sizeField + " " + sample));
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("experiment", "capacity");
		line.put("by", sizeField);
		line.put("samples", samples);
		line.put("routerCpuShare", slope(samples, Sample::routerCpuShare));
		line.put("agentCpuShare", slope(samples, Sample::agentCpuShare));
		line.put("routerResidentBytes", slope(samples, Sample::routerResidentBytes));
		line.put("agentResidentBytes", slope(samples, Sample::agentResidentBytes));
		line.put("agentControlBytesPerSecond", slope(samples, Sample::agentControlBytesPerSecond));
		line.put("platformCallsPerSecond", slope(samples, Sample::allPlatformCallsPerSecond));
		ResultLine.write(line, options.output());
	}

	private static String slope(List<Sample> samples, ToDoubleFunction<Sample> value) {
		return Slope
			.fit(samples.stream().map((sample) -> new Point(sample.size(), value.applyAsDouble(sample))).toList())
			.toString();
	}

	/**
	 * Counters of the processes at one time.
	 */
	private record Counters(ProcessUsage router, ProcessUsage agent, double agentControlBytes,
			Map<String, Double> platformCalls) {

		static Counters of(Installation installation) throws IOException, InterruptedException {
			Member agent = installation.agents().getFirst();
			JsonNode metrics = get(installation, agent.operator().uri("/metrics"));
			JsonNode platform = get(installation, installation.platform().uri("/record"));
			Map<String, Double> calls = platform.propertyStream()
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().asDouble()));
			return new Counters(usage(installation, installation.routers().getFirst()), usage(installation, agent),
					controlBytes(metrics), calls);
		}

		private static double controlBytes(JsonNode metrics) {
			return Stream.of("control.sent.bytes", "control.received.bytes")
				.mapToDouble((name) -> metrics.path(name).asDouble())
				.sum();
		}

		private static JsonNode get(Installation installation, URI uri) throws IOException, InterruptedException {
			return Json.tree(installation.client().get(uri, REQUEST_TIMEOUT).body());
		}

		private static ProcessUsage usage(Installation installation, Member member) throws IOException {
			return ProcessUsage.of(Objects.requireNonNull(installation.fleet().process(member.vm())));
		}

	}

	/**
	 * Resource usage during one measurement window.
	 *
	 * @param size number of listed VMs, or configuration changes a second
	 * @param routerCpuShare share of a core used by the router
	 * @param agentCpuShare share of a core used by an agent
	 * @param routerResidentBytes resident memory of the router
	 * @param agentResidentBytes resident memory of an agent
	 * @param agentControlBytesPerSecond control bytes sent and received by an agent
	 * @param platformCallsPerSecond calls to the platform by all processes, by kind
	 */
	record Sample(double size, double routerCpuShare, double agentCpuShare, long routerResidentBytes,
			long agentResidentBytes, double agentControlBytesPerSecond, Map<String, Double> platformCallsPerSecond) {

		double allPlatformCallsPerSecond() {
			return this.platformCallsPerSecond.values().stream().mapToDouble(Double::doubleValue).sum();
		}

		static Sample between(Counters before, Counters after, double seconds, double size) {
			return new Sample(size, (after.router().cpuSeconds() - before.router().cpuSeconds()) / seconds,
					(after.agent().cpuSeconds() - before.agent().cpuSeconds()) / seconds,
					after.router().residentBytes(), after.agent().residentBytes(),
					(after.agentControlBytes() - before.agentControlBytes()) / seconds,
					rates(before.platformCalls(), after.platformCalls(), seconds));
		}

		private static Map<String, Double> rates(Map<String, Double> before, Map<String, Double> after,
				double seconds) {
			return after.entrySet()
				.stream()
				.collect(Collectors.toMap(Map.Entry::getKey,
						(entry) -> (entry.getValue() - before.getOrDefault(entry.getKey(), 0.0)) / seconds));
		}

	}

}
