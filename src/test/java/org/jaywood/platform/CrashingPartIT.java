package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.StreamedResponse;
import org.jaywood.platform.FakeMetadataStore.Fault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Runs gateways and replicas beside engines that crash when they begin to answer a call
 * with a certain part of a prompt.
 */
class CrashingPartIT {

	private static final int GATEWAYS = 3;

	private static final int ENGINES = 5;

	private static final String CRASHING_PART = "dead1";

	/** Distinct first parts of sound prompts, which crashing ones share. */
	private static final int FIRST_PARTS = 8;

	private static final int SOUND_CALLERS = 6;

	private static final long SOUND_PAUSE_MILLIS = 20;

	private static final long CRASHING_PAUSE_MILLIS = 200;

	private static final Duration SOUND_ONLY = Duration.ofSeconds(2);

	private static final Duration WITH_CRASHING_CALLS = Duration.ofSeconds(14);

	/** Crashes after which the part has to be known. */
	private static final int CRASHES_BEFORE_BOUND = 5;

	/** Time in which all gateways have to know it. */
	private static final Duration CONTACT = Duration.ofSeconds(3);

	/** Calls with the part that may reach engines later. */
	private static final int LATE_CALLS_ALLOWED = 3;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private final List<Sent> soundCalls = new CopyOnWriteArrayList<>();

	private PlatformProcesses processes;

	@AfterEach
	void stop() {
		this.tasks.shutdownNow();
		this.processes.close();
	}

	@Test
	void partThatCrashesEnginesIsNotSentOnByAnyGateway() throws Exception {
		start();
		sendCalls();
		assertFewLateCrashingCalls();
		assertSoundCallsAreServed();
	}

	@Test
	void partThatCrashesEnginesIsNotSentOnWhileTheStoreIsAwayAndAGatewayRestarts() throws Exception {
		start();
		this.tasks.submit(() -> {
			TimeUnit.NANOSECONDS.sleep(SOUND_ONLY.plusSeconds(2).toNanos());
			this.processes.fleet().kill(PlatformProcesses.gateway(1));
			this.processes.startGateway(1);
			this.processes.awaitReady(1);
			this.processes.store().setFault(Fault.BUSY);
			TimeUnit.SECONDS.sleep(3);
			this.processes.store().setFault(Fault.NONE);
			return null;
		});
		sendCalls();
		assertFewLateCrashingCalls();
	}

	private void start() throws IOException {
		this.processes = new PlatformProcesses(GATEWAYS, ENGINES, new EventLog("test")).start();
		IntStream.range(0, ENGINES)
			.forEach((number) -> this.processes.engine(number)
				.crashOn(CRASHING_PART, () -> this.processes.publishEngine(number)));
	}

	private void sendCalls() throws InterruptedException {
		long startNanos = System.nanoTime();
		long endNanos = startNanos + SOUND_ONLY.plus(WITH_CRASHING_CALLS).toNanos();
		IntStream.range(0, SOUND_CALLERS).forEach((number) -> this.tasks.submit(() -> {
			Random random = new Random(number);
			while (System.nanoTime() < endNanos) {
				long sentNanos = System.nanoTime();
				String firstPart = "a" + random.nextInt(FIRST_PARTS);
				int status = send(firstPart + ":40," + randomId() + ":100", random);
				this.soundCalls.add(new Sent(sentNanos, status));
				Thread.sleep(SOUND_PAUSE_MILLIS);
			}
			return null;
		}));
		TimeUnit.NANOSECONDS.sleep(SOUND_ONLY.toNanos());
		Random random = new Random(ENGINES);
		while (System.nanoTime() < endNanos) {
			String firstPart = "a" + random.nextInt(FIRST_PARTS);
			this.tasks.submit(() -> send(firstPart + ":40," + CRASHING_PART + ":40," + randomId() + ":100", random));
			Thread.sleep(CRASHING_PAUSE_MILLIS);
		}
	}

	private static String randomId() {
		return Long.toHexString(UUID.randomUUID().getMostSignificantBits());
	}

	/**
	 * Sends a call to any gateway.
	 * @return its status, 0 if it broke
	 */
	private int send(String prefix, Random random) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/calls/a");
		request.setHeader(HttpHeaders.HOST, this.processes.host());
		request.setHeader("X-Attempt-Id",
				(prefix.contains(CRASHING_PART) ? CRASHING_PART : "sound") + "-" + UUID.randomUUID());
		request.setHeader("X-Deadline-Ms", "5000");
		request.setHeader("X-Prompt-Prefix", prefix);
		request.setHeader(HttpHeaders.AUTHORIZATION, "Bearer " + PlatformProcesses.KEY);
		try (ClientConnection connection = ClientConnection.open(this.processes.callerAddress(random.nextInt(GATEWAYS)),
				1_000)) {
			connection.send(request, "prompt".getBytes(StandardCharsets.US_ASCII));
			StreamedResponse response = connection.receive(6_000);
			response.body().readAllBytes();
			return response.status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private List<Long> crashNanos() {
		return this.processes.engines().stream().flatMap((engine) -> engine.crashNanos().stream()).sorted().toList();
	}

	private void assertFewLateCrashingCalls() {
		List<Long> crashes = crashNanos();
		assertWithMessage("crashes").that(crashes).isNotEmpty();
		if (crashes.size() < CRASHES_BEFORE_BOUND) {
			return;
		}
		long boundNanos = crashes.get(CRASHES_BEFORE_BOUND - 1) + CONTACT.toNanos();
		long late = this.processes.engines()
			.stream()
			.flatMap((engine) -> engine.executedCalls().stream())
			.filter((call) -> call.attempt().startsWith(CRASHING_PART))
			.filter((call) -> call.arrivedNanos() - boundNanos > 0)
			.count();
		assertWithMessage("calls with the part after " + crashes.size() + " crashes").that(late)
			.isAtMost(LATE_CALLS_ALLOWED);
	}

	private void assertSoundCallsAreServed() {
		long lastNanos = this.soundCalls.getLast().sentNanos();
		List<Sent> late = this.soundCalls.stream()
			.filter((call) -> lastNanos - call.sentNanos() < WITH_CRASHING_CALLS.toNanos() / 3)
			.toList();
		long served = late.stream().filter((call) -> call.status() == 200).count();
		assertWithMessage("sound calls served of " + late.size()).that(2 * served).isAtLeast(late.size());
		assertThat(late.size()).isAtLeast(20);
	}

	/**
	 * Call that a caller sent.
	 *
	 * @param sentNanos time of sending
	 * @param status status of its response, 0 if it broke
	 */
	private record Sent(long sentNanos, int status) {
	}

}
