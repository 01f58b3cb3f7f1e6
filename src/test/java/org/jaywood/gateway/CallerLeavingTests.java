package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against attempts that go on after their caller has left, whatever the attempt
 * does at that moment.
 */
class CallerLeavingTests extends GatewayFixture {

	/** Time after a caller's leave in which each of its attempts has to be closed. */
	private static final long CLOSE_MILLIS = 500;

	/** Calls of one of four gateways that an upstream of the fixture may hold. */
	private static final int CAPACITY_CALLS = 4;

	private static final FakeUpstream.Script SILENT = (request, number, out, socket) -> {
	};

	private final List<Socket> callers = new ArrayList<>();

	private Socket call(Gateway gateway, String request) throws IOException {
		Socket caller = new Socket("127.0.0.1", gateway.callerPort());
		this.callers.add(caller);
		write(caller.getOutputStream(), request);
		return caller;
	}

	@AfterEach
	void closeCallers() throws IOException {
		for (Socket caller : this.callers) {
			caller.close();
		}
	}

	private static void assertClosed(FakeUpstream upstream) throws InterruptedException {
		assertThat(upstream.connectionEnded().await(CLOSE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void aQueuedCallIsNotSent() throws Exception {
		FakeUpstream full = new FakeUpstream(SILENT);
		Gateway gateway = start(full);
		for (int number = 0; number < CAPACITY_CALLS; number++) {
			call(gateway, SAFE.replace("call-1", "call-" + number));
		}
		Awaitility.await().until(() -> full.requests().size() == CAPACITY_CALLS);
		try (Socket queued = call(gateway, UNSAFE)) {
			pause(50);
		}
		pause(50);
		this.callers.getFirst().close();
		pause(CLOSE_MILLIS);
		assertThat(full.requests()).hasSize(CAPACITY_CALLS);
	}

	@Test
	void aCallWhoseBodyTheUpstreamDoesNotReadIsClosed() throws Exception {
		Gateway gateway = start(FakeUpstream.neverReading());
		String body = "a".repeat(8_000_000);
		try (Socket caller = call(gateway,
				UNSAFE.replace("Content-Length: 4", "Content-Length: " + body.length()).replace("body", body))) {
			pause(1_000);
			assertThat(gateway.dump().calls()).isEqualTo(1);
		}
		Awaitility.await().atMost(CLOSE_MILLIS, TimeUnit.MILLISECONDS).until(() -> gateway.dump().calls() == 0);
	}

	@Test
	void aStreamIsClosed() throws Exception {
		FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> {
			write(out, FakeUpstream.streamHead(request));
			for (int event = 1; event <= 100; event++) {
				write(out, FakeUpstream.chunk("id: " + event + "\ndata: a\n\n"));
				pause(50);
			}
		});
		Gateway gateway = start(upstream);
		try (Socket caller = call(gateway, STREAM)) {
			assertThat(caller.getInputStream().read()).isGreaterThan(0);
		}
		assertClosed(upstream);
	}

	@Test
	void bothAttemptsOfAHedgedCallAreClosed() throws Exception {
		FakeUpstream first = new FakeUpstream(SILENT);
		FakeUpstream second = new FakeUpstream(SILENT);
		Gateway gateway = start(first, second);
		try (Socket caller = call(gateway, SAFE)) {
			Awaitility.await().until(() -> first.requests().size() + second.requests().size() == 2);
		}
		assertClosed(first);
		assertClosed(second);
	}

	@Test
	void aResumedStreamIsClosed() throws Exception {
		FakeUpstream.Script breaks = (request, number, out, socket) -> {
			if (request.header("last-event-id").isEmpty()) {
				write(out, FakeUpstream.streamHead(request) + FakeUpstream.chunk("id: 1\ndata: a\n\n"));
				socket.close();
			}
		};
		FakeUpstream first = new FakeUpstream(breaks);
		FakeUpstream second = new FakeUpstream(breaks);
		Gateway gateway = start(first, second);
		try (Socket caller = call(gateway, STREAM)) {
			Awaitility.await().until(() -> first.requests().size() + second.requests().size() == 2);
		}
		assertClosed(first);
		assertClosed(second);
	}

	@Test
	void aCallOnAKeptConnectionIsClosed() throws Exception {
		FakeUpstream upstream = new FakeUpstream((request, number, out, socket) -> {
			if (number == 1) {
				write(out, FakeUpstream.response(request, 200, "", "done"));
			}
		});
		Gateway gateway = start(upstream);
		assertThat(exchange(gateway, SAFE)).endsWith("done");
		try (Socket caller = call(gateway, SAFE.replace("call-1", "call-2"))) {
			Awaitility.await().until(() -> upstream.requests().size() == 2);
		}
		assertClosed(upstream);
		assertThat(upstream.reset()).isTrue();
	}

}
