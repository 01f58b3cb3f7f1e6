package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Trace.Arrival;
import org.jaywood.bench.Trace.Fault;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceLimits;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * Replays a recorded trace on an installation and compares the outcomes of the calls with
 * those that the trace states.
 */
public final class ReplayExperiment implements Experiment {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	private static final long SERVING_TIMEOUT_MILLIS = 30_000;

	@Override
	public String name() {
		return "replay";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		if (options.arguments().size() != 1) {
			throw new IllegalArgumentException("expected one trace: bench replay FILE, got " + options.arguments());
		}
		Trace trace = Trace.parse(Files.readAllLines(Path.of(options.arguments().getFirst())));
		return replay(trace) ? 0 : 1;
	}

	/**
	 * Replays a trace and prints each stated outcome.
	 * @return whether all stated outcomes were reached
	 */
	public static boolean replay(Trace trace) throws IOException, InterruptedException {
		try (Installation installation = Installation.start(InstallationOptions.of(trace.profile()).withNetwork())) {
			Map<String, Object> measured = new TraceReplay(installation).run(trace);
			System.out.println(Json.text(measured));
			boolean allReached = true;
			for (Trace.Outcome outcome : trace.outcomes()) {
				double value = ((Number) measured.getOrDefault(outcome.name(), Double.NaN)).doubleValue();
				boolean outcomeReached = outcome.isReached(value);
				allReached &= outcomeReached;
				System.out.println(
						String.format(Locale.ROOT, "%-7s %s %s %s, measured %s", outcomeReached ? "reached" : "MISSED",
								outcome.name(), outcome.comparison(), outcome.value(), value));
			}
			return allReached;
		}
	}

	/**
	 * Replay of one trace on one installation.
	 */
	private static final class TraceReplay {

		private final Installation installation;

		private final Map<List<String>, String> partitions = new HashMap<>();

		private final PhaseFigures figures = new PhaseFigures();

		private final LoadClient client = new LoadClient(REQUEST_TIMEOUT);

		private final Deployment initialDeployment;

		private final String manifest;

		private Deployment currentDeployment;

		TraceReplay(Installation installation) throws IOException, InterruptedException {
			this.installation = installation;
			this.manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
			int surge = Math.max(1, installation.profile().model().upstreams() / 3);
			this.initialDeployment = installation.deployment("1", this.manifest, new ServiceLimits(surge,
					ServiceLimits.DEFAULT.deadlineMillis(), ServiceLimits.DEFAULT.bodyBytes()));
			this.currentDeployment = this.initialDeployment;
		}

		Map<String, Object> run(Trace trace) throws IOException, InterruptedException {
			String digest = Digests.ofSet(List.of(this.manifest));
			this.client.allowWeights(digest);
			this.installation.apply(this.initialDeployment);
			this.installation.awaitServing(digest, SERVING_TIMEOUT_MILLIS);
			this.installation.awaitGeneration(1, SERVING_TIMEOUT_MILLIS);
			long startNanos = System.nanoTime();
			List<Thread> calls = startCalls(trace, startNanos);
			for (Fault fault : trace.faults()) {
				sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(fault.millis()));
				inject(fault);
			}
			for (Thread call : calls) {
				call.join();
			}
			Map<String, Object> measured = new LinkedHashMap<>(this.figures.toMap());
			measured.put("experiment", "replay");
			measured.put("profile", trace.profile().name());
			measured.put("duplicateRuns", duplicateRuns());
			measured.put("reasons", this.figures.reasons());
			return measured;
		}

		private List<Thread> startCalls(Trace trace, long startNanos) {
			List<Member> routers = this.installation.routers();
			return IntStream.range(0, trace.arrivals().size()).mapToObj((index) -> {
				Arrival arrival = trace.arrivals().get(index);
				return Thread
					.startVirtualThread(() -> call(arrival, index, routers.get(index % routers.size()), startNanos));
			}).toList();
		}

		private void call(Arrival arrival, int index, Member router, long startNanos) {
			try {
				long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(arrival.millis());
				sleepUntil(dueNanos);
				this.figures.add(this.client.call(router.caller(), new LoadCall(arrival.kind(), arrival.service(),
						arrival.workspace(), "call-" + index, arrival.tokens()), dueNanos));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private void inject(Fault fault) throws IOException, InterruptedException {
			String target = fault.targets().getFirst();
			switch (fault.kind()) {
				case DATA_CENTRE_OUT -> setInService(target, false);
				case DATA_CENTRE_IN -> setInService(target, true);
				case KILL_AGENT -> this.installation.fleet().kill(target);
				case START_AGENT -> this.installation.startProcess(member(target));
				case KILL_UPSTREAM -> this.installation.fleet().kill(Installation.upstreamProcessName(member(target)));
				case START_UPSTREAM -> this.installation.startUpstreamProcess(member(target));
				case PARTITION -> this.partitions.put(fault.targets(),
						this.installation.network().partition(target, fault.targets().getLast()));
				case HEAL -> {
					String id = this.partitions.remove(fault.targets());
					if (id == null) {
						throw new IllegalArgumentException("no partition of " + fault.targets() + " is active");
					}
					this.installation.network().removeFault(id);
				}
			}
		}

		private void setInService(String dataCentre, boolean inService) {
			DataCentre declared = this.initialDeployment.dataCentres().get(dataCentre);
			if (declared == null) {
				throw new IllegalArgumentException("no data centre '" + dataCentre + "' in the profile");
			}
			Map<String, DataCentre> changed = new LinkedHashMap<>(this.currentDeployment.dataCentres());
			changed.put(dataCentre, new DataCentre(declared.region(), inService));
			this.currentDeployment = new Deployment(changed, this.initialDeployment.services(),
					this.initialDeployment.workspaces());
			this.installation.apply(this.currentDeployment);
		}

		private Member member(String vm) {
			return this.installation.agents()
				.stream()
				.filter((agent) -> agent.vm().equals(vm))
				.findFirst()
				.orElseThrow(() -> new IllegalArgumentException("no agent '" + vm + "' in the profile"));
		}

		/**
		 * Returns the number of runs beyond the first of each call at the plain services.
		 */
		private int duplicateRuns() throws IOException, InterruptedException {
			Map<String, Integer> runs = new HashMap<>();
			for (Member agent : this.installation.agents()) {
				if (agent.service().equals(this.installation.profile().model().name())) {
					continue;
				}
				JsonNode record = Json
					.tree(this.installation.client().get(agent.upstream().uri("/record"), REQUEST_TIMEOUT).body());
				runIds(record.path("runs")).forEach((id) -> runs.merge(id, 1, Integer::sum));
			}
			return runs.values().stream().mapToInt((count) -> count - 1).sum();
		}

		private static Stream<String> runIds(JsonNode runs) {
			return runs.valueStream().map((run) -> run.isTextual() ? run.asText() : run.path("id").asText());
		}

		private static void sleepUntil(long dueNanos) throws InterruptedException {
			TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
		}

	}

}
