package org.jaywood.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.feed.BootClock;
import org.jaywood.platform.PlatformCalls;
import org.jaywood.routing.DispatchSettings;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that stay or are placed on a suspended VM until their callers
 * leave.
 */
class SuspendedVmTests extends GatewayFixture {

	/** Callers abandon a silent stream after two seconds at the earliest. */
	private static final long PATIENCE_MILLIS = 2_000;

	/** Time that a second engine under load may need for its first event. */
	private static final long SECOND_ENGINE_MILLIS = 900;

	/** Time in which a gateway gives up an agent without reports. */
	private static final long AGENT_GIVEN_UP_MILLIS = 2_000;

	private static final int LONG_STREAM_EVENTS = 100;

	private final FakeVm vm = new FakeVm("a", "127.0.0.2", 0, LONG_STREAM_EVENTS);

	private final FakeVm otherVm = new FakeVm("b", "127.0.0.3", this.vm.agentPort(), LONG_STREAM_EVENTS);

	SuspendedVmTests() throws IOException {
	}

	@AfterEach
	void closeVms() throws IOException {
		this.vm.close();
		this.otherVm.close();
	}

	private Gateway start(FakeVm... vms) {
		Address anyPort = new Address("127.0.0.1", 0);
		GatewaySettings settings = new GatewaySettings("gateway", anyPort, anyPort, "/ready", anyPort,
				this.vm.agentPort(), new DispatchSettings("gateway", "region", "dc", 1.5, 5, 2_200, 7_000), 0.2, 100,
				10_000, 3_400, 1_800, 8_000, GatewayLimits.ofHeap(1 << 30, 50));
		Gateway gateway = start(settings, new PlatformCalls(), new ServiceProfile.Engines("desk", 36, "model", 16, 300),
				Stream.of(vms).map(FakeVm::entry).toList(), noTargetVersions());
		Awaitility.await().until(() -> Stream.of(vms).allMatch((started) -> started.reportsSent() > 1));
		return gateway;
	}

	/**
	 * A stream that a caller has begun to read.
	 */
	private static final class OpenStream implements AutoCloseable {

		private final Socket socket;

		private final BufferedReader in;

		OpenStream(Gateway gateway, String id) throws IOException {
			this.socket = new Socket("127.0.0.1", gateway.callerPort());
			this.socket.setSoTimeout(8_000);
			write(this.socket.getOutputStream(), STREAM.replace("call-1", id));
			this.in = new BufferedReader(
					new InputStreamReader(this.socket.getInputStream(), StandardCharsets.ISO_8859_1));
		}

		/**
		 * Returns the id of the VM that sent the next event, or an empty string at the
		 * end of the answer.
		 */
		String nextEvent() throws IOException {
			String line = this.in.readLine();
			while (line != null && !line.startsWith("data: ")) {
				line = this.in.readLine();
			}
			return (line != null) ? line.substring("data: ".length()) : "";
		}

		String status() throws IOException {
			return this.in.readLine();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/**
	 * A stream whose VM is suspended while another VM has free capacity.
	 */
	@Nested
	class CallInFlight {

		@Test
		void goesOnElsewhereWhileItsCallerStillWaits() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm, SuspendedVmTests.this.otherVm);
			try (OpenStream stream = new OpenStream(gateway, "call-1");
					OpenStream second = new OpenStream(gateway, "call-2")) {
				OpenStream moved = stream.nextEvent().equals("a") ? stream : second;
				assertThat(moved.nextEvent()).isEqualTo("a");
				SuspendedVmTests.this.vm.suspend();
				long sinceMillis = BootClock.nowMillis();
				String source = "a";
				while (source.equals("a")) {
					source = moved.nextEvent();
				}
				assertThat(source).isEqualTo("b");
				assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(PATIENCE_MILLIS - SECOND_ENGINE_MILLIS);
			}
		}

	}

	/**
	 * Calls while no VM runs.
	 */
	@Nested
	class NoOtherVm {

		@Test
		void callThatHasNotBegunIsAnsweredBeforeItsCallerLeaves() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm);
			SuspendedVmTests.this.vm.suspend();
			long sinceMillis = BootClock.nowMillis();
			try (OpenStream stream = new OpenStream(gateway, "call-1")) {
				assertThat(stream.status()).startsWith("HTTP/1.1 502");
				assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(PATIENCE_MILLIS);
			}
		}

		@Test
		void answerThatHasBegunEndsBeforeItsCallerLeaves() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm);
			try (OpenStream stream = new OpenStream(gateway, "call-1")) {
				assertThat(stream.nextEvent()).isEqualTo("a");
				SuspendedVmTests.this.vm.suspend();
				long sinceMillis = BootClock.nowMillis();
				String source = "a";
				while (source.equals("a")) {
					source = stream.nextEvent();
				}
				assertThat(source).isEmpty();
				assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(PATIENCE_MILLIS);
			}
		}

		@Test
		void newCallsAreNotPlacedOnceTheAgentIsGivenUp() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm);
			SuspendedVmTests.this.vm.suspend();
			pause(AGENT_GIVEN_UP_MILLIS);
			List<String> statuses = IntStream.range(0, 5).mapToObj((number) -> status(gateway, number)).toList();
			assertThat(SuspendedVmTests.this.vm.requests()).isEqualTo(0);
			statuses.forEach((status) -> assertThat(status).startsWith("HTTP/1.1 503"));
		}

		private String status(Gateway gateway, int number) {
			try (OpenStream stream = new OpenStream(gateway, "call-" + number)) {
				return stream.status();
			}
			catch (IOException ex) {
				return ex.toString();
			}
		}

	}

	/**
	 * An agent that fails alone says nothing about its engine.
	 */
	@Nested
	class AgentAlone {

		@Test
		void engineOfAnAgentThatEndedStillGetsCalls() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm);
			SuspendedVmTests.this.vm.stopAgent();
			pause(AGENT_GIVEN_UP_MILLIS);
			try (OpenStream stream = new OpenStream(gateway, "call-1")) {
				assertThat(stream.nextEvent()).isEqualTo("a");
			}
		}

		@Test
		void engineWhoseStreamGoesOnStillGetsCallsThoughItsAgentIsSilent() throws IOException {
			Gateway gateway = start(SuspendedVmTests.this.vm);
			try (OpenStream running = new OpenStream(gateway, "call-1")) {
				assertThat(running.nextEvent()).isEqualTo("a");
				SuspendedVmTests.this.vm.suspendAgent();
				pause(AGENT_GIVEN_UP_MILLIS);
				try (OpenStream stream = new OpenStream(gateway, "call-2")) {
					assertThat(stream.nextEvent()).isEqualTo("a");
				}
			}
		}

	}

}
