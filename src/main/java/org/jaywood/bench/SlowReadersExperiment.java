package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * Measures the resources that callers which read slowly or not at all use at the router,
 * the agents, the engines and in the kernel, and their effect on normal callers at a
 * steady rate.
 */
public final class SlowReadersExperiment implements Experiment {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	/** About 70 KB of events, more than the socket buffers of a connection hold. */
	private static final int SLOW_READER_TOKENS = 1_600;

	private static final int NORMAL_CALL_TOKENS = 20;

	private static final double NORMAL_CALLS_PER_SECOND = 40;

	private static final int READ_BYTES_PER_SECOND = 1_024;

	/** One reader of this many never reads. */
	private static final int NEVER_READING_INTERVAL = 4;

	/** A higher rate of new calls would be refused while the engines are cold. */
	private static final int CONNECTS_PER_SECOND = 500;

	/** Number of readers that read the rest of their answer at full speed at the end. */
	private static final int CHECKED_READERS = 100;

	private static final long FINISH_TIMEOUT_MILLIS = 30_000;

	private static final long SERVING_TIMEOUT_MILLIS = 30_000;

	@Override
	public String name() {
		return "slow-readers";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		Profile profile = (options.replicas() > 0)
				? options.profile().withUpstreams(options.profile().model().name(), options.replicas())
				: options.profile();
		InstallationOptions installationOptions = InstallationOptions.of(profile).withRouters(1).withTokenMillis(2);
		List<SlowReader> readers = new ArrayList<>();
		try (Installation installation = Installation.start(installationOptions)) {
			Map<String, Object> result = measure(installation, options, readers);
			ResultLine.write(result, options.output());
			result.forEach((name, value) -> System.out.printf(Locale.ROOT, "%-24s %s%n", name, value));
			return Integer.valueOf(0).equals(result.get("truncated")) ? 0 : 1;
		}
		finally {
			readers.forEach(SlowReader::close);
		}
	}

	private Map<String, Object> measure(Installation installation, ExperimentOptions options, List<SlowReader> readers)
			throws IOException, InterruptedException {
		String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
		installation.apply(installation.deployment("1", manifest));
		String weights = Digests.ofSet(List.of(manifest));
		installation.awaitServing(weights, SERVING_TIMEOUT_MILLIS);
		installation.awaitGeneration(1, SERVING_TIMEOUT_MILLIS);
		LoadSettings settings = LoadSettings.open(installation, NORMAL_CALLS_PER_SECOND, NORMAL_CALL_TOKENS,
				options.seed());
		try (LoadGenerator load = new LoadGenerator(settings).allowWeights(weights)) {
			load.start("warm-up");
			TimeUnit.SECONDS.sleep(options.seconds());
			load.beginPhase("without");
			TimeUnit.SECONDS.sleep(options.seconds());
			Sample baseline = Sample.of(installation);
			load.beginPhase("connecting");
			connect(installation, options.readers(), readers);
			TimeUnit.SECONDS.sleep(2);
			load.beginPhase("with");
			TimeUnit.SECONDS.sleep(options.seconds());
			Sample withReaders = Sample.of(installation);
			load.beginPhase("finishing");
			Map<SlowReader.Outcome, Long> readerOutcomes = finishCheckedReaders(readers);
			return result(options, baseline, withReaders, load, readerOutcomes, failures(readers));
		}
	}

	private static void connect(Installation installation, int count, List<SlowReader> readers)
			throws IOException, InterruptedException {
		Member router = installation.routers().getFirst();
		String service = installation.profile().model().name();
		for (int i = 0; i < count; i++) {
			SlowReader reader = new SlowReader(router.caller(), i, SLOW_READER_TOKENS,
					(i % NEVER_READING_INTERVAL == 0) ? 0 : READ_BYTES_PER_SECOND);
			readers.add(reader);
			reader.sendRequest(service);
			Thread.startVirtualThread(reader);
			TimeUnit.MICROSECONDS.sleep(1_000_000 / CONNECTS_PER_SECOND);
		}
	}

	/**
	 * Lets the checked readers read the rest of their answers at full speed, and counts
	 * the outcomes of all readers. The other readers must still be reading.
	 */
	private static Map<SlowReader.Outcome, Long> finishCheckedReaders(List<SlowReader> readers)
			throws InterruptedException {
		List<SlowReader> checked = readers.stream().limit(CHECKED_READERS).toList();
		checked.forEach(SlowReader::readAtFullSpeed);
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MILLIS);
		while (checked.stream().anyMatch((reader) -> reader.outcome() == SlowReader.Outcome.READING)
				&& System.nanoTime() < deadlineNanos) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		return readers.stream()
			.collect(Collectors.groupingBy(SlowReader::outcome, TreeMap::new, Collectors.counting()));
	}

	private static Map<String, Long> failures(List<SlowReader> readers) {
		return readers.stream()
			.map(SlowReader::failure)
			.filter((failure) -> !failure.isEmpty())
			.collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
	}

	private Map<String, Object> result(ExperimentOptions options, Sample baseline, Sample withReaders,
			LoadGenerator load, Map<SlowReader.Outcome, Long> readerOutcomes, Map<String, Long> failures) {
		int count = Math.max(1, options.readers());
		PhaseFigures normalCalls = load.figures("with");
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("experiment", name());
		result.put("profile", options.profile().name());
		result.put("seed", options.seed());
		result.put("slowReaders", options.readers());
		result.put("routerBytesPerReader", (withReaders.routerBytes() - baseline.routerBytes()) / count);
		result.put("routerAccountedBytesPerReader",
				(withReaders.routerAccountedBytes() - baseline.routerAccountedBytes()) / count);
		result.put("agentBytesPerReader", (withReaders.agentBytes() - baseline.agentBytes()) / count);
		result.put("engineBytesPerReader", (withReaders.engineBytes() - baseline.engineBytes()) / count);
		result.put("kernelBytesPerReader",
				(withReaders.sockets().sendQueueBytes() - baseline.sockets().sendQueueBytes()) / count);
		result.put("residentBytes", withReaders.routerBytes());
		result.put("residentBytesWithout", baseline.routerBytes());
		result.put("normalP99MillisWithout", load.figures("without").wholeMillis(99));
		result.put("normalP99Millis", normalCalls.wholeMillis(99));
		result.put("normalP99Ratio", normalCalls.wholeMillis(99) / load.figures("without").wholeMillis(99));
		result.put("normalAnswered", normalCalls.answeredShare());
		result.put("normalReasons", normalCalls.reasons());
		result.put("truncated", readerOutcomes.getOrDefault(SlowReader.Outcome.TRUNCATED, 0L).intValue()
				+ readerOutcomes.getOrDefault(SlowReader.Outcome.WRONG, 0L).intValue());
		result.put("readers", readerOutcomes);
		result.put("readerFailures", failures);
		result.put("routerAborted", withReaders.routerAborted());
		result.put("routerConnections", withReaders.sockets().connections());
		result.put("routerThreads", withReaders.routerThreads());
		result.put("routerFiles", withReaders.routerFiles());
		result.put("engineCalls", withReaders.engineCalls());
		result.put("engineCancelled", withReaders.engineCancelled() - baseline.engineCancelled());
		result.put("engineResumed", withReaders.engineResumed() - baseline.engineResumed());
		return result;
	}

	/**
	 * Resource usage of all processes at one time.
	 *
	 * @param routerBytes resident memory of the router
	 * @param routerAccountedBytes bytes of the router's caller memory in use
	 * @param routerAborted connections that the router aborted since its start
	 * @param agentBytes resident memory of all agents
	 * @param engineBytes memory that the engines use for calls
	 * @param engineCalls calls that run at the engines
	 * @param engineCancelled calls cancelled at the engines since their start
	 * @param engineResumed calls resumed at the engines since their start
	 * @param routerThreads threads of the router
	 * @param routerFiles open files of the router
	 * @param sockets connections of the caller port
	 */
	private record Sample(long routerBytes, long routerAccountedBytes, int routerAborted, long agentBytes,
			long engineBytes, int engineCalls, long engineCancelled, long engineResumed, int routerThreads,
			int routerFiles, ProcessSockets sockets) {

		static Sample of(Installation installation) throws IOException, InterruptedException {
			Member router = installation.routers().getFirst();
			Process process = process(installation, router);
			ProcessUsage usage = ProcessUsage.of(process);
			long agentBytes = 0;
			long engineBytes = 0;
			int calls = 0;
			long cancelled = 0;
			long resumed = 0;
			for (Member agent : installation.agentsOf(installation.profile().model().name())) {
				agentBytes += ProcessUsage.of(process(installation, agent)).residentBytes();
				JsonNode status = get(installation, agent, "/status");
				JsonNode engineRecord = get(installation, agent, "/record");
				engineBytes += status.path("memoryBytes").asLong();
				calls += status.path("inFlight").asInt();
				cancelled += engineRecord.path("cancelled").asLong();
				resumed += engineRecord.path("resumed").asLong();
			}
			JsonNode callerMemory = installation.state(router).path("held");
			return new Sample(usage.residentBytes(), callerMemory.path("bytes").asLong(),
					callerMemory.path("aborted").asInt(), agentBytes, engineBytes, calls, cancelled, resumed,
					countEntries(process, "task"), countEntries(process, "fd"), ProcessSockets.of(router.caller()));
		}

		private static Process process(Installation installation, Member member) {
			Process process = installation.fleet().process(member.vm());
			if (process == null) {
				throw new IllegalStateException(member.vm() + " was not started");
			}
			return process;
		}

		private static JsonNode get(Installation installation, Member agent, String path)
				throws IOException, InterruptedException {
			return Json.tree(installation.client().get(agent.upstream().uri(path), REQUEST_TIMEOUT).body());
		}

		private static int countEntries(Process process, String directory) throws IOException {
			try (Stream<Path> entries = Files.list(Path.of("/proc", Long.toString(process.pid()), directory))) {
				return (int) entries.count();
			}
		}

	}

}
