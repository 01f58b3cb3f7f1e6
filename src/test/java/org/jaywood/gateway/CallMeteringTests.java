package org.jaywood.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.Lease;
import org.jaywood.leader.LeaseResponse;
import org.jaywood.leader.LeaseStore;
import org.jaywood.metering.ProcessCounts;
import org.jaywood.metering.UsageCountStore;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that are counted twice because they were sent again or resumed,
 * and against calls that are counted although they did not begin to run. The store of the
 * lease does not respond, so that the gateway writes its counts into the store.
 */
class CallMeteringTests extends GatewayFixture {

	private volatile Map<Long, Map<String, Long>> counts = Map.of();

	@Override
	LeaderPorts leaderPorts() {
		LeaseStore silent = new LeaseStore() {

			@Override
			public LeaseResponse read(boolean fresh) throws IOException {
				throw new IOException("no response");
			}

			@Override
			public LeaseResponse create(Lease lease) throws IOException {
				throw new IOException("no response");
			}

			@Override
			public LeaseResponse replace(Lease lease, long revision) throws IOException {
				throw new IOException("no response");
			}

		};
		UsageCountStore store = new UsageCountStore() {

			@Override
			public Stored readOwn() {
				return new Stored(List.of(), NO_REVISION);
			}

			@Override
			public long write(List<ProcessCounts> latest, long revision) {
				CallMeteringTests.this.counts = latest.getFirst().windows();
				return revision + 1;
			}

			@Override
			public List<ProcessCounts> readAll() {
				return List.of();
			}

		};
		return new LeaderPorts(
				new SingletonSettings(Set.of("usage"), new Address("127.0.0.1", 1), 4, 3_000, 600_000, 10_000), silent,
				(term, report) -> new CloudResponse.Accepted(), store,
				(term, service, dataCentre, engines) -> new CloudResponse.Accepted(), Set.of());
	}

	private long counted() {
		return this.counts.values().stream().mapToLong((window) -> window.getOrDefault("workspace-1", 0L)).sum();
	}

	@Test
	void eachCallThatBeganCountsOnce() throws IOException {
		FakeUpstream refusing = new FakeUpstream(answer(503, "X-Not-Executed: 1\r\n"));
		FakeUpstream answering = new FakeUpstream(answer(200, ""));
		Gateway gateway = start(refusing, answering);
		for (int number = 0; number < 4; number++) {
			assertThat(call(gateway, SAFE, number)).startsWith("HTTP/1.1 200");
		}
		Awaitility.await().atMost(Duration.ofSeconds(8)).until(() -> counted() >= 4);
		pauseForAnotherWrite();
		assertThat(counted()).isEqualTo(4);
	}

	@Test
	void resumedStreamCountsOnce() throws IOException {
		FakeUpstream.Script script = (request, number, out, socket) -> {
			if (request.header("last-event-id").isEmpty()) {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				socket.close();
			}
			else {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
			}
		};
		Gateway gateway = start(new FakeUpstream(script), new FakeUpstream(script));
		assertThat(exchange(gateway, STREAM)).contains("data: b");
		Awaitility.await().atMost(Duration.ofSeconds(8)).until(() -> counted() >= 1);
		pauseForAnotherWrite();
		assertThat(counted()).isEqualTo(1);
	}

	@Test
	void refusedCallDoesNotCount() throws IOException {
		Gateway gateway = start(new FakeUpstream(answer(503, "X-Not-Executed: 1\r\n")));
		assertThat(call(gateway, UNSAFE, 1)).startsWith("HTTP/1.1 503");
		pauseForAnotherWrite();
		assertThat(counted()).isEqualTo(0);
	}

	private static void pauseForAnotherWrite() {
		pause(2_800);
	}

}
