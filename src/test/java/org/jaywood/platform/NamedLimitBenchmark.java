package org.jaywood.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.jaywood.event.EventLog;

/**
 * Measures how much of a limit several gateways use, as real processes, and how long the
 * load takes to return after its end. Run by hand with {@code -Dit.test}; it checks
 * nothing.
 */
class NamedLimitBenchmark {

	private static final int CALLERS = 32;

	private static final double LIMIT_PER_SECOND = 10;

	private static final long SETTLING_MILLIS = 4_000;

	private static final long MEASURED_MILLIS = 12_000;

	private static final long RETURN_MILLIS = 8_000;

	private PlatformProcesses processes;

	private volatile boolean running = true;

	@AfterEach
	void stop() {
		this.running = false;
		this.processes.close();
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private long arrivals(long fromMillis, long untilMillis) {
		return this.processes.engine(0)
			.executedCalls()
			.stream()
			.map((call) -> TimeUnit.NANOSECONDS.toMillis(call.arrivedNanos()))
			.filter((millis) -> millis >= fromMillis && millis < untilMillis)
			.count();
	}

	private static void await(long untilMillis) {
		Awaitility.await().atMost(Duration.ofSeconds(60)).until(() -> nowMillis() >= untilMillis);
	}

	@ParameterizedTest
	@CsvSource({ "1, even", "4, even", "4, one", "16, even", "16, one" })
	void measure(int gateways, String callersAt) throws IOException {
		this.processes = new PlatformProcesses(gateways, 1, new EventLog("test")).start();
		IntStream.range(0, CALLERS)
			.mapToObj((number) -> new SoakCaller(
					List.of(this.processes.callerAddress(callersAt.equals("even") ? number % gateways : 0)),
					this.processes.host(), number, () -> this.running)
				.withPause(50))
			.forEach((caller) -> Thread.ofVirtual().start(caller));
		await(nowMillis() + SETTLING_MILLIS);
		double usualPerSecond = arrivals(nowMillis() - 2_000, nowMillis()) / 2.0;
		this.processes.engine(0).setLimitHeaders(Double.toString(LIMIT_PER_SECOND));
		long fromMillis = nowMillis() + SETTLING_MILLIS;
		await(fromMillis + MEASURED_MILLIS);
		double used = arrivals(fromMillis, fromMillis + MEASURED_MILLIS) / (LIMIT_PER_SECOND * MEASURED_MILLIS / 1_000);
		this.processes.engine(0).setLimitHeaders();
		long endMillis = nowMillis();
		await(endMillis + RETURN_MILLIS);
		long returnMillis = IntStream.iterate(0, (millis) -> millis < RETURN_MILLIS, (millis) -> millis + 250)
			.filter((millis) -> arrivals(endMillis + millis, endMillis + millis + 500) >= 0.8 * usualPerSecond / 2)
			.findFirst()
			.orElse(-1);
		System.out.printf("gateways=%d callers=%s usualPerSecond=%.0f used=%.2f returnMillis=%d%n", gateways, callersAt,
				usualPerSecond, used, returnMillis);
	}

}
