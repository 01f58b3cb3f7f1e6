package org.jaywood.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.store.Futures;
import org.jaywood.store.HttpPlatform;
import org.jaywood.store.ObjectPage;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a stand-in that is more lenient than the platform. Tests would then miss
 * faults of the code that only the platform shows.
 */
class PlatformStandinTests {

	private final PlatformStandin standin = new PlatformStandin(new Address("127.0.0.1", 0), new EventLog("test"));

	private final WireClient client = WireClient.plain(null);

	private final HttpPlatform platform = new HttpPlatform(this.client, this.standin.address());

	@AfterEach
	void close() {
		this.standin.close();
	}

	private void control(Map<String, ?> control) throws Exception {
		assertThat(
				this.client.post(this.standin.address().uri("/control"), control, Duration.ofSeconds(5)).statusCode())
			.isEqualTo(200);
	}

	private static byte[] value(String text) {
		return ("\"" + text + "\"").getBytes(StandardCharsets.UTF_8);
	}

	private static Kind failureKind(CompletableFuture<?> call) {
		try {
			Futures.await(call);
			throw new AssertionError("expected a PlatformException, but the call succeeded");
		}
		catch (PlatformException ex) {
			return ex.kind();
		}
	}

	@Nested
	class Writes {

		private final HttpPlatform platform = PlatformStandinTests.this.platform;

		@Test
		void withWrongVersionConflict() {
			long first = Futures.await(this.platform.create("k", "n", value("a")));
			assertThat(failureKind(this.platform.create("k", "n", value("b")))).isEqualTo(Kind.CONFLICT);
			assertThat(failureKind(this.platform.update("k", "n", value("b"), first + 1))).isEqualTo(Kind.CONFLICT);
			Futures.await(this.platform.update("k", "n", value("b"), first));
			assertThat(failureKind(this.platform.delete("k", "n", first))).isEqualTo(Kind.CONFLICT);
		}

		@Test
		void takeEffectWhenResponseIsLost() throws Exception {
			control(Map.of("loseReplies", 1));
			assertThat(failureKind(this.platform.create("k", "n", value("a")))).isEqualTo(Kind.NO_ANSWER);
			assertThat(Futures.await(this.platform.get("k", "n")).value()).isEqualTo(value("a"));
		}

		@Test
		void aboveRateAreRefused() throws Exception {
			control(Map.of("writesPerSecond", 1));
			Futures.await(this.platform.create("k", "n", value("a")));
			assertThat(failureKind(this.platform.create("k", "m", value("a")))).isEqualTo(Kind.REFUSED);
		}

		@Test
		void areUndoneByRestoreUnderANewVersion() throws Exception {
			long first = Futures.await(this.platform.create("k", "n", value("a")));
			long second = Futures.await(this.platform.update("k", "n", value("b"), first));
			control(Map.of("restore", Map.of("kind", "k", "name", "n", "writesAgo", 1)));
			assertThat(Futures.await(this.platform.get("k", "n")).value()).isEqualTo(value("a"));
			assertThat(Futures.await(this.platform.get("k", "n")).version()).isGreaterThan(second);
		}

	}

	@Nested
	class Outage {

		@Test
		void abortsCallsAndWaitingWatches() throws Exception {
			CompletableFuture<ObjectPage> watch = PlatformStandinTests.this.platform.watch("k", 0, 20_000);
			while (!counts().containsKey("watch k")) {
				Thread.onSpinWait();
			}
			control(Map.of("down", true));
			assertThat(failureKind(watch)).isEqualTo(Kind.NO_ANSWER);
			assertThat(failureKind(PlatformStandinTests.this.platform.get("k", "n"))).isEqualTo(Kind.NO_ANSWER);
			control(Map.of("down", false));
			assertThat(failureKind(PlatformStandinTests.this.platform.get("k", "n"))).isEqualTo(Kind.NOT_FOUND);
		}

		private Map<?, ?> counts() throws Exception {
			return Json.read(PlatformStandinTests.this.client
				.get(PlatformStandinTests.this.standin.address().uri("/record"), Duration.ofSeconds(5))
				.body(), Map.class);
		}

	}

	@Nested
	class VmList {

		@Test
		void showsEntriesInOrderAfterTheirLag() {
			VmTable table = new VmTable();
			table.setLagMillis(100);
			table.put("a", Json.tree(value("1")), 1_000);
			table.setLagMillis(0);
			table.put("b", Json.tree(value("2")), 1_010);
			assertThat(table.changes(0, 1_050)).isEmpty();
			assertThat(table.version(1_050)).isEqualTo(0);
			assertThat(table.changes(0, 1_100)).hasSize(2);
			assertThat(table.changes(1, 1_100)).hasSize(1);
		}

	}

}
