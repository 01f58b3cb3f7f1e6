package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderTerm;
import org.jaywood.metering.UsageReport;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against cloud calls without holder and token, in another format, after the end
 * of the term, or beyond the rate, and against refusals that are taken for acceptance.
 */
class CloudClientTests {

	private final List<String> received = new CopyOnWriteArrayList<>();

	private volatile int status = 200;

	private final HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("cloud"))
		.route("POST", "/usage", this::accept)
		.start();

	@AfterEach
	void close() {
		this.port.close();
	}

	private void accept(Exchange exchange) throws IOException {
		this.received.add(exchange.header("X-Duty-Holder") + " " + exchange.header("X-Fencing-Token") + " "
				+ new String(exchange.readBody(1 << 16), StandardCharsets.UTF_8));
		exchange.respondJson(this.status, Map.of());
	}

	private CloudResponse report(double callsPerSecond, long validMillis) {
		return report(new CloudClient(this.port.address(), callsPerSecond), validMillis);
	}

	private static CloudResponse report(CloudClient client, long validMillis) {
		return new CloudUsageApi(client).report(
				new LeaderTerm("front-1", 4_294_967_301L, BootClock.nowMillis() + validMillis),
				new UsageReport(353445120, Map.of("bozi300", 412L)));
	}

	@Test
	void reportHasHolderTokenAndCounts() {
		assertThat(report(10, 2_000)).isEqualTo(new CloudResponse.Accepted());
		assertThat(this.received)
			.containsExactly("front-1 4294967301 {\"Counts\":{\"bozi300\":412},\"WindowId\":353445120}");
	}

	@Test
	void refusalIsReported() {
		this.status = 503;
		assertThat(report(10, 2_000)).isEqualTo(new CloudResponse.Refused(503));
	}

	@Test
	void nothingIsSentAfterTheEndOfTheTerm() {
		assertThat(report(10, 0)).isInstanceOf(CloudResponse.Unknown.class);
		assertThat(this.received).isEmpty();
	}

	@Test
	void callsBeyondTheRateAreRefusedHere() {
		CloudClient client = new CloudClient(this.port.address(), 0.1);
		assertThat(report(client, 2_000)).isEqualTo(new CloudResponse.Accepted());
		assertThat(report(client, 2_000)).isEqualTo(new CloudResponse.Refused(429));
		assertThat(this.received).hasSize(1);
	}

}
