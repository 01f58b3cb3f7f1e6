package org.jaywood.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways, as real processes, that together send an engine more calls
 * than the limit that it names in its responses.
 */
class NamedLimitIT {

	private static final int GATEWAYS = 4;

	private static final int CALLERS_PER_GATEWAY = 4;

	private static final double LIMIT_PER_SECOND = 2.5;

	/** Window to which the users' rule applies, and what it allows in it. */
	private static final long WINDOW_MILLIS = 4_000;

	private static final int ALLOWED_CALLS = (int) (1.5 * LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000 + 5);

	/** Time after the first response with the limit from which it has to be kept. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long MEASURED_MILLIS = 12_000;

	private final PlatformProcesses processes = new PlatformProcesses(GATEWAYS, 1, new EventLog("test"));

	private volatile boolean running = true;

	NamedLimitIT() throws IOException {
	}

	@AfterEach
	void stop() {
		this.running = false;
		this.processes.close();
	}

	private List<Long> arrivalsMillis() {
		return this.processes.engine(0)
			.executedCalls()
			.stream()
			.map((call) -> TimeUnit.NANOSECONDS.toMillis(call.arrivedNanos()))
			.toList();
	}

	private static long maxInWindow(List<Long> arrivals) {
		return arrivals.stream()
			.mapToLong((start) -> arrivals.stream()
				.filter((millis) -> millis >= start && millis < start + WINDOW_MILLIS)
				.count())
			.max()
			.orElse(0);
	}

	@Test
	void severalGatewaysTogetherKeepTheLimitThatAnEngineNames() throws IOException {
		this.processes.start();
		List<SoakCaller> callers = IntStream.range(0, GATEWAYS * CALLERS_PER_GATEWAY)
			.mapToObj((number) -> new SoakCaller(List.of(this.processes.callerAddress(number % GATEWAYS)),
					this.processes.host(), number, () -> this.running)
				.withPause(50))
			.toList();
		callers.forEach((caller) -> Thread.ofVirtual().start(caller));
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> arrivalsMillis().size() > 100);
		this.processes.engine(0).setLimitHeaders(Double.toString(LIMIT_PER_SECOND));
		long namedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		long endMillis = namedMillis + CONTACT_MILLIS + MEASURED_MILLIS;
		Awaitility.await()
			.atMost(Duration.ofSeconds(30))
			.until(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) > endMillis);
		List<Long> limited = arrivalsMillis().stream()
			.filter((millis) -> millis >= namedMillis + CONTACT_MILLIS)
			.toList();
		assertThat(maxInWindow(limited)).isAtMost(ALLOWED_CALLS);
		assertThat(limited).isNotEmpty();
	}

}
