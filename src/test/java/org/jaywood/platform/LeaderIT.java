package org.jaywood.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against usage windows that are missing, reported twice with different counts, or
 * reported with a falling token when the gateway that leads is killed. Runs two gateways
 * as real processes against fakes of the store, an engine and the cloud API.
 */
class LeaderIT {

	private static final long WINDOW_MILLIS = 5_000;

	private static final long DUE_MILLIS = 10_000;

	private static final long CALL_INTERVAL_MILLIS = 40;

	private final EventLog log = new EventLog("test");

	private final List<Report> reports = new CopyOnWriteArrayList<>();

	private HttpPort cloud;

	private PlatformProcesses processes;

	/** Answered calls by window of their answer. */
	private final Map<Long, Long> answered = new HashMap<>();

	@BeforeEach
	void start() throws Exception {
		this.cloud = HttpPort.open(new Address("127.0.0.1", 0), this.log).route("POST", "/usage", this::accept).start();
		this.processes = new PlatformProcesses(2, 1, this.log).withSingletons(this.cloud.address(), "usage").start();
	}

	@AfterEach
	void stop() {
		this.processes.close();
		this.cloud.close();
	}

	private void accept(Exchange exchange) throws IOException {
		JsonNode body = exchange.readJson(JsonNode.class, 1 << 16);
		this.reports.add(new Report(System.currentTimeMillis(), body.path("WindowId").asLong(),
				body.path("Counts").path("workspace-1").asLong(), body.path("Counts").toString(),
				exchange.header("X-Duty-Holder"), exchange.headerLong("X-Fencing-Token", -1)));
		exchange.respondJson(200, Map.of());
	}

	private void callFor(long millis, int... gateways) throws InterruptedException {
		long endMillis = System.currentTimeMillis() + millis;
		for (int number = 0; System.currentTimeMillis() < endMillis; number++) {
			try {
				if (call(gateways[number % gateways.length]) == 200) {
					this.answered.merge(System.currentTimeMillis() / WINDOW_MILLIS, 1L, Long::sum);
				}
			}
			catch (IOException ex) {
				// The gateway does not run.
			}
			Thread.sleep(CALL_INTERVAL_MILLIS);
		}
	}

	private int call(int gateway) throws IOException {
		Address address = this.processes.callerAddress(gateway);
		try (Socket socket = new Socket(address.host(), address.port())) {
			socket.setSoTimeout(6_000);
			socket.getOutputStream()
				.write(("POST /calls/a HTTP/1.1\r\nHost: " + this.processes.host() + "\r\nX-Attempt-Id: "
						+ UUID.randomUUID() + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer "
						+ PlatformProcesses.KEY + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
					.getBytes(StandardCharsets.US_ASCII));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			return response.startsWith("HTTP/1.1 200 ") ? 200 : 0;
		}
	}

	@Test
	void eachWindowIsReportedOnceInContentWhenTheLeaderIsKilled() throws Exception {
		callFor(20_000, 0);
		assertThat(this.reports).isNotEmpty();
		String leader = this.reports.getLast().holder();
		long killedWindow = System.currentTimeMillis() / WINDOW_MILLIS;
		this.processes.fleet().kill(leader);
		callFor(WINDOW_MILLIS + DUE_MILLIS + 2_000, 0, 1);

		assertThat(this.reports.getLast().holder()).isNotEqualTo(leader);
		assertThat(this.reports.stream().map(Report::token).toList()).isInOrder();
		Map<Long, Report> byWindow = new HashMap<>();
		for (Report report : this.reports) {
			Report earlier = byWindow.putIfAbsent(report.window(), report);
			assertThat(report.counts()).isEqualTo((earlier != null) ? earlier.counts() : report.counts());
		}
		long first = this.reports.getFirst().window();
		LongStream.rangeClosed(first, killedWindow + 1).forEach((window) -> {
			assertWithMessage("window %s", window).that(byWindow).containsKey(window);
			assertWithMessage("delay of window %s", window)
				.that(byWindow.get(window).millis() - (window + 1) * WINDOW_MILLIS)
				.isLessThan(DUE_MILLIS);
		});
		LongStream.range(first + 1, killedWindow)
			.forEach((window) -> assertWithMessage("calls of window %s", window)
				.that((double) byWindow.get(window).calls())
				.isWithin(3)
				.of(this.answered.getOrDefault(window, 0L)));
	}

	private record Report(long millis, long window, long calls, String counts, String holder, long token) {
	}

}
