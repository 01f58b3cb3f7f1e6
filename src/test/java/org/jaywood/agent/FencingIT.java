package org.jaywood.agent;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

import org.jaywood.agent.TestRouter.Result;
import org.jaywood.agent.TestRouter.SentAttempt;
import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.Headers;
import org.jaywood.wire.RefusalReason;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a call that runs after its router was told that it will not run, and
 * against a second run of a call whose response was lost.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@SuppressWarnings("NullAway.Init")
class FencingIT {

	private static final Map<String, String> POST = Map.of(Headers.METHOD, "POST", Headers.PATH, "/bookings");

	private Installation installation;

	private Member agent;

	@BeforeAll
	void start() throws Exception {
		this.installation = SmallInstallation.start();
		this.agent = this.installation.agentsOf("visit-desk").getFirst();
	}

	@AfterAll
	void stop() {
		this.installation.close();
	}

	@Test
	void attemptDelayedInConnectionIsNotAdmittedAfterFence() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		long attempt = router.nextAttempt();
		try (Socket socket = new Socket(this.agent.listen().host(), this.agent.listen().port())) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /v1/calls HTTP/1.1\r\nHost: agent\r\nContent-Length: 10\r\n" + Headers.INCARNATION + ": "
					+ router.incarnation() + "\r\n" + Headers.ATTEMPT + ": " + attempt + "\r\n"
					+ Headers.EXPECTED_INCARNATION + ": " + router.agentIncarnation() + "\r\n" + Headers.REQUEST_ID
					+ ": frozen\r\n" + Headers.SERVICE + ": visit-desk\r\n" + Headers.METHOD + ": POST\r\n"
					+ Headers.PATH + ": /bookings\r\n\r\n12345")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			assertThat(router.fence(attempt, 0).state()).isEqualTo(FenceReply.State.NEVER_ADMITTED);
			out.write("67890".getBytes(StandardCharsets.US_ASCII));
			out.flush();
			BufferedReader response = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			assertThat(response.readLine()).contains("503");
			assertThat(response.lines().filter((line) -> line.contains("FENCED")).findFirst()).isPresent();
		}
		assertThat(SmallInstallation.record(this.installation, this.agent).path("runs").toString())
			.doesNotContain("frozen");
	}

	/**
	 * Guards against a call that cannot be fenced because its attempt has no number.
	 */
	@Test
	void attemptWithoutNumberOrIncarnationIsRejected() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		for (Map<String, String> headers : List.of(Map.of(Headers.ATTEMPT, "0"), Map.of(Headers.ATTEMPT, "-1"),
				Map.of(Headers.EXPECTED_INCARNATION, ""), Map.of(Headers.INCARNATION, ""))) {
			Map<String, String> all = new HashMap<>(POST);
			all.putAll(headers);
			SentAttempt sentAttempt = router.sendAttempt(router.nextAttempt(), "unnumbered", new byte[2], all);
			assertThat(Objects.requireNonNull(sentAttempt.response()).statusCode()).isEqualTo(400);
		}
		assertThat(SmallInstallation.record(this.installation, this.agent).path("runs").toString())
			.doesNotContain("unnumbered");
	}

	@Test
	void fenceReturnsFinishedAnswer() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		long attempt = router.nextAttempt();
		SmallInstallation.control(this.installation, this.agent, Map.of("delayMillis", 700));
		try {
			Thread.ofVirtual().start(() -> ignoreResponse(router, attempt));
			Installation.await("call runs", 5_000,
					() -> SmallInstallation.record(this.installation, this.agent)
						.path("runs")
						.toString()
						.contains("late-" + router.incarnation()));
			assertThat(router.fence(attempt, 0).state()).isEqualTo(FenceReply.State.RUNNING);
			FenceReply finished = router.fence(attempt, 5_000);
			assertThat(finished.state()).isEqualTo(FenceReply.State.FINISHED);
			assertThat(new String(Objects.requireNonNull(finished.body()), StandardCharsets.UTF_8))
				.contains("/bookings");
		}
		finally {
			SmallInstallation.control(this.installation, this.agent, Map.of());
		}
		SentAttempt repeatedAttempt = router.sendAttempt(attempt, "late", new byte[2], POST);
		assertThat(router.readResult(repeatedAttempt, 0).refusal()).isEqualTo(RefusalReason.DUPLICATE);
	}

	private static void ignoreResponse(TestRouter router, long attempt) {
		try {
			router.sendAttempt(attempt, "late", new byte[2], POST);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void attemptWithLostServiceResponseIsNotReportedAsNotRun() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		long attempt = router.nextAttempt();
		SmallInstallation.control(this.installation, this.agent, Map.of("dropReply", true));
		try {
			Result result = router.readResult(router.sendAttempt(attempt, "dropped", new byte[2], POST), 0);
			assertThat(result.cut()).isTrue();
			assertThat(router.fence(attempt, 1_000).state()).isEqualTo(FenceReply.State.FORGOTTEN);
		}
		finally {
			SmallInstallation.control(this.installation, this.agent, Map.of());
		}
		long runs = SmallInstallation.record(this.installation, this.agent)
			.path("runs")
			.valueStream()
			.filter((run) -> run.asText().startsWith("dropped"))
			.count();
		assertThat(runs).isEqualTo(1);
	}

	@Test
	void largeAnswerIsReceivedWhole() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		SmallInstallation.control(this.installation, this.agent, Map.of("answerBytes", 100_000));
		try {
			Result result = router.readResult(router.sendAttempt(router.nextAttempt(), "large", new byte[2], POST), 0);
			assertThat(result.whole()).isTrue();
			assertThat(result.text()).hasLength(100_000);
		}
		finally {
			SmallInstallation.control(this.installation, this.agent, Map.of());
		}
	}

	@Test
	void restartedAgentRefusesAttemptsForEarlierIncarnation() throws Exception {
		TestRouter router = new TestRouter(this.installation, this.agent);
		router.sendAttempt(router.nextAttempt(), "before", new byte[2], POST);
		Process process = Objects.requireNonNull(this.installation.fleet().process(this.agent.vm()));
		process.destroyForcibly().waitFor();
		this.installation.startProcess(this.agent);
		SmallInstallation.awaitOpen(this.installation, this.agent);
		assertThat(router.fence(1, 0).state()).isEqualTo(FenceReply.State.OTHER_INCARNATION);
		SentAttempt sentAttempt = router.sendAttempt(router.nextAttempt(), "after", new byte[2], POST);
		assertThat(router.readResult(sentAttempt, 0).refusal()).isEqualTo(RefusalReason.OTHER_INCARNATION);
	}

}
