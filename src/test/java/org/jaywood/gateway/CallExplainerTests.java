package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.jaywood.cli.Jaywood;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedView;
import org.jaywood.http.RequestLimits;
import org.jaywood.platform.PlatformCalls;
import org.jaywood.routing.KeyRing;
import org.jaywood.routing.RetryPolicy;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.ServiceShare;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.UpstreamReport;
import org.jaywood.routing.Workspace;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against an answer about a call that differs from the response that the call
 * would get before any upstream is considered, and against keys that are shown.
 */
class CallExplainerTests {

	private final GatewayContext context = GatewayContext.create(GatewayFixture.settings(), new PlatformCalls(),
			new EventLog("test"));

	private final CallAdmission admission = new CallAdmission(new PlatformCalls(), 3_400, 1_800);

	private final CallerConnections connections = new CallerConnections(this.admission, 10);

	private final CallExplainer explainer = new CallExplainer(this.context, this.connections);

	private final long nowMillis = BootClock.nowMillis();

	private static Route route(String name, boolean keyless, ServiceShare... shares) {
		return new Route(name, "host", "/" + name + "/", RetryPolicy.RESUMABLE_STREAM, 6_000, 400, 1, List.of(shares),
				2, keyless, Set.of());
	}

	private void configure(long confirmedMillis) {
		ServiceShare pool = new ServiceShare(RoutingFixtures.ENGINE_SERVICE, 1);
		this.context.storeCache()
			.onConfiguration(new FeedView<>(
					Map.of("main",
							RoutingFixtures.table(route("chat", false, pool), route("open", true, pool),
									route("split", true, pool, new ServiceShare(RoutingFixtures.PLAIN_SERVICE, 3),
											new ServiceShare("unused", 0)))),
					1, confirmedMillis, Long.MIN_VALUE, true));
		Upstream engine = RoutingFixtures.engine("a", "dc", "region", 1);
		this.context.storeCache()
			.onUpstreams(new FeedView<>(Map.of("a", engine), 1, this.nowMillis, Long.MIN_VALUE, true));
	}

	private static ExplainRequest question(String route, String workspace, String key, Long remainingMillis,
			String... parts) {
		return new ExplainRequest(route, workspace, key, null, 0, 0, remainingMillis, List.of(parts));
	}

	private CallExplanation.Refusal refusal(ExplainRequest question) {
		return this.explainer.explain(question, this.nowMillis).refusal();
	}

	@Test
	void unknownConfigurationRouteKeyAndWorkspace() {
		assertThat(refusal(question("chat", null, "key-1", null)))
			.isEqualTo(new CallExplanation.Refusal(503, "configuration-unknown", 1_000));
		configure(this.nowMillis);
		assertThat(refusal(question("other", null, "key-1", null)))
			.isEqualTo(new CallExplanation.Refusal(404, "no-route", 0));
		assertThat(refusal(question("host/other/x", null, "key-1", null)).reason()).isEqualTo("no-route");
		assertThat(refusal(question("chat", null, "other", null)))
			.isEqualTo(new CallExplanation.Refusal(401, "unknown-key", 0));
		assertThat(refusal(question("chat", "other", null, null)).reason()).isEqualTo("unknown-key");
		for (ExplainRequest sound : List.of(question("chat", null, "key-1", null),
				question("host/chat/x", "workspace-1", null, null), question("open", null, null, null))) {
			assertThat(refusal(sound)).isNull();
		}
	}

	/**
	 * Guards against a route that is not found for a host with its port, which a call
	 * names as well.
	 */
	@Test
	void hostWithPort() {
		configure(this.nowMillis);
		assertThat(this.explainer.explain(question("host:8080/chat/x", null, "key-1", null), this.nowMillis).route())
			.isEqualTo("chat");
	}

	/**
	 * Guards against a refused call that is shown with the priority of its route although
	 * another one applies.
	 */
	@Test
	void priorityOfRefusedCalls() {
		this.context.storeCache()
			.onConfiguration(new FeedView<>(
					Map.of("main",
							new RouteTable(1,
									List.of(route("chat", false, new ServiceShare(RoutingFixtures.ENGINE_SERVICE, 1))),
									Map.of(),
									new KeyRing(true,
											Map.of("key-1", new Workspace("workspace-1", OptionalInt.of(3), Set.of()))),
									new RequestLimits(16_384, 1_000_000, 3_000, 15_000))),
					1, this.nowMillis - 3_401, Long.MIN_VALUE, true));
		ExplainRequest asked = new ExplainRequest("chat", "workspace-1", null, 2, 0, 0, null, List.of());
		assertThat(List.of(asked, question("chat", null, "key-1", null), question("chat", null, "other", null))
			.stream()
			.map((question) -> this.explainer.explain(question, this.nowMillis))
			.peek((explanation) -> assertThat(explanation.refusal()).isNotNull())
			.map(CallExplanation::priority)
			.toList()).containsExactly(2, 3, 1).inOrder();
	}

	/**
	 * Guards against malformed values that fail as an internal error or are taken as they
	 * are.
	 */
	@Test
	void malformedRequests() throws Exception {
		configure(this.nowMillis);
		try (HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
			.route("POST", CallExplainer.PATH, this.explainer::handle)
			.start()) {
			Map<String, Object> malformed = Map.of("parts", Collections.singletonList(null), "promptTokens", -1,
					"answerTokens", -1, "remainingMillis", -1, "priority", -1, "key", "key-1");
			for (Map.Entry<String, Object> entry : malformed.entrySet()) {
				HttpResponse<byte[]> response = WireClient.plain(null)
					.post(port.address().uri(CallExplainer.PATH),
							Map.of("route", "open", "workspace", "workspace-1", entry.getKey(), entry.getValue()),
							Duration.ofSeconds(2));
				assertWithMessage(entry.getKey()).that(response.statusCode()).isEqualTo(400);
				assertThat(new String(response.body(), StandardCharsets.UTF_8)).contains(entry.getKey());
			}
		}
	}

	@Test
	void staleConfiguration() {
		configure(this.nowMillis - 3_401);
		assertThat(refusal(question("chat", null, "key-1", null)))
			.isEqualTo(new CallExplanation.Refusal(503, "configuration-stale", 1_000));
		assertThat(refusal(question("other", null, "key-1", null)).reason()).isEqualTo("configuration-stale");
	}

	@Test
	void shutdownAndBlockedParts() {
		configure(this.nowMillis);
		List.of("x", "y", "z").forEach((id) -> {
			Upstream engine = RoutingFixtures.engine(id, "dc", "region", 1);
			this.context.screen().onBroken(engine, Set.of("bad"), true, this.nowMillis);
			this.context.screen()
				.onReport(engine.address(), new UpstreamReport("", 0, 0, false, 1, true, engine.bornMillis(), null),
						this.nowMillis);
		});
		CallExplanation.Refusal blocked = refusal(question("open", null, null, null, "bad"));
		assertThat(blocked.reason()).isEqualTo("blocked-parts");
		assertThat(blocked.retryAfterMillis()).isGreaterThan(0L);
		this.connections.drain(new ShutdownSchedule(this.nowMillis, this.nowMillis + 1_000, this.nowMillis + 2_000));
		assertThat(refusal(question("open", null, null, null)))
			.isEqualTo(new CallExplanation.Refusal(503, "draining", 0));
	}

	@Test
	void eachServiceOfTheRouteAndTheTimeThatIsLeft() {
		configure(this.nowMillis);
		List<CallExplanation.ServiceExplanation> services = this.explainer
			.explain(question("split", null, null, null), this.nowMillis)
			.services();
		assertThat(services.stream().map(CallExplanation.ServiceExplanation::service).toList())
			.containsExactly(RoutingFixtures.ENGINE_SERVICE, RoutingFixtures.PLAIN_SERVICE);
		assertThat(services.getFirst().result()).isEqualTo(CallExplanation.Result.PLACED);
		assertThat(services.getFirst().placement().upstream()).isEqualTo("a");
		assertThat(services.getLast().refusal().reason()).isEqualTo("no-place");
		assertThat(services.getLast().refusal().status()).isEqualTo(503);
		// A question is no call: its long time-out makes no later call late.
		this.explainer.explain(question("open", null, null, 20_000L), this.nowMillis);
		assertThat(this.explainer.explain(question("open", null, null, null), this.nowMillis).late()).isFalse();
	}

	/**
	 * Runs the command against the port, as an operator does.
	 */
	@Test
	void commandPrintsTheAnswerAndNoKey() throws Exception {
		configure(this.nowMillis);
		PrintStream out = System.out;
		ByteArrayOutputStream printed = new ByteArrayOutputStream();
		try (CapturedLog log = new CapturedLog();
				HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
					.route("POST", CallExplainer.PATH, this.explainer::handle)
					.start()) {
			System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
			int status = new Jaywood(Map.of("JAYWOOD_KEY", "key-1")).run("explain", port.address().toString(),
					"--route", "chat", "--prompt-tokens", "100", "--remaining-millis", "3000");
			assertThat(status).isEqualTo(0);
			HttpResponse<byte[]> unreadable = WireClient.plain(null)
				.post(port.address().uri(CallExplainer.PATH), List.of("key-1"), Duration.ofSeconds(2));
			assertThat(unreadable.statusCode()).isEqualTo(400);
			assertThat(new String(unreadable.body(), StandardCharsets.UTF_8)).doesNotContain("key-1");
			assertThat(String.join("", log.lines())).doesNotContain("key-1");
		}
		finally {
			System.setOut(out);
		}
		String text = printed.toString(StandardCharsets.UTF_8);
		assertThat(text).contains("workspace workspace-1");
		assertThat(text).contains("placed on a");
		assertThat(text).doesNotContain("key-1");
		assertThat(Json.text(this.explainer.explain(question("chat", null, "key-1", null), this.nowMillis)))
			.doesNotContain("key-1");
	}

}
