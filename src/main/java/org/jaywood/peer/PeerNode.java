package org.jaywood.peer;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.config.ConfigurationView;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.platform.Futures;
import org.jaywood.platform.HttpPlatform;
import org.jaywood.platform.ObjectPage;
import org.jaywood.platform.PlatformException;
import org.jaywood.platform.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * The part of a process that talks to its peers: it holds the configuration and the
 * membership, answers probes and keeps both current from the platform and from peers.
 */
public final class PeerNode implements AutoCloseable {

	private static final long WATCH_MILLIS = 10_000;

	private static final long PROBE_INTERVAL_MILLIS = 1_000;

	private static final int PROBES_PER_INTERVAL = 2;

	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

	private static final int PROBE_LIMIT_BYTES = 4_096;

	private final ProcessIdentity identity;

	private final EventLog log;

	private final ConfigurationView configuration;

	private final Membership membership = new Membership();

	private final HttpPlatform platform;

	private final WireClient client;

	private final HttpPort port;

	private final BooleanSupplier leaving;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	public PeerNode(ProcessIdentity identity, Address listenAddress, Address platformAddress,
			@Nullable Credential credential, EventLog log, BooleanSupplier leaving) {
		this.identity = identity;
		this.log = log;
		this.leaving = leaving;
		this.configuration = new ConfigurationView(log);
		this.platform = new HttpPlatform(WireClient.plain(listenAddress.host()), platformAddress);
		this.client = new WireClient(listenAddress.host(), credential, this::commonHeaders, this::observeReply);
		this.port = HttpPort.open(listenAddress, log, credential, this::observeRequest);
		this.port.route("POST", "/v1/probe", this::answerProbe);
		this.port.route("GET", "/v1/configuration",
				(exchange) -> exchange.respondJson(200, this.configuration.current()));
	}

	public ProcessIdentity identity() {
		return this.identity;
	}

	public ConfigurationView configuration() {
		return this.configuration;
	}

	public Membership membership() {
		return this.membership;
	}

	public HttpPlatform platform() {
		return this.platform;
	}

	public WireClient client() {
		return this.client;
	}

	public HttpPort port() {
		return this.port;
	}

	/**
	 * Opens the peer port and starts the tasks that keep configuration and membership
	 * current.
	 */
	public void start() {
		this.port.start();
		this.tasks.execute(() -> repeat("watch configuration", this::watchConfiguration));
		this.tasks.execute(() -> repeat("watch VMs", this::watchVms));
		this.tasks.execute(() -> repeat("probe", this::probePeers));
	}

	private void repeat(String name, Task task) {
		while (!Thread.currentThread().isInterrupted()) {
			try {
				task.run();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (IOException | RuntimeException ex) {
				this.log.log(Event.TASK_FAILED, "task", name, "error", ex);
				if (!pause(PROBE_INTERVAL_MILLIS)) {
					return;
				}
			}
		}
	}

	private void watchConfiguration() {
		long seen = 0;
		while (true) {
			ObjectPage page = Futures.await(this.platform.watch(ConfigurationRepository.KIND, seen, WATCH_MILLIS));
			page.objects()
				.stream()
				.filter((object) -> object.name().equals(ConfigurationRepository.NAME) && !object.deleted())
				.map((object) -> Json.read(object.value(), AppliedConfiguration.class))
				.forEach((offered) -> this.configuration.offer(offered, "platform"));
			seen = page.version();
		}
	}

	private void watchVms() {
		while (true) {
			this.membership.merge(Futures.await(this.platform.changes(this.membership.version(), WATCH_MILLIS)));
		}
	}

	private void probePeers() throws InterruptedException {
		List<VmRecord> peers = this.membership.live()
			.filter((entry) -> !entry.address().equals(this.identity.address()))
			.collect(Collectors.collectingAndThen(Collectors.toList(), (list) -> {
				Collections.shuffle(list);
				return list;
			}));
		peers.stream().limit(PROBES_PER_INTERVAL).forEach((peer) -> this.tasks.execute(() -> probe(peer.address())));
		TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
	}

	private void probe(Address peer) {
		try {
			HttpResponse<byte[]> reply = this.client.post(peer.uri("/v1/probe"), ownProbe(), PROBE_TIMEOUT);
			observeProbe(Json.read(reply.body(), Probe.class));
		}
		catch (IOException ex) {
			// An unreachable peer is not an event: the next round probes others.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Probe ownProbe() {
		AppliedConfiguration current = this.configuration.current();
		return new Probe(this.identity.incarnation(), this.identity.role(), this.identity.vm(),
				this.identity.dataCentre(), this.identity.address(), current.generation(), current.digest(),
				this.leaving.getAsBoolean());
	}

	private void answerProbe(Exchange exchange) throws IOException {
		observeProbe(exchange.json(Probe.class, PROBE_LIMIT_BYTES));
		exchange.respondJson(200, ownProbe());
	}

	private void observeProbe(Probe probe) {
		if (probe.leaving()) {
			this.membership.observeLeaving(probe.address());
		}
		else {
			this.membership.observeServing(probe.address());
		}
		observeGeneration(probe.generation(), probe.address());
	}

	private void observeGeneration(long generation, Address source) {
		if (generation > this.configuration.current().generation()) {
			this.tasks.execute(() -> fetchConfiguration(source));
		}
	}

	private void fetchConfiguration(Address source) {
		try {
			HttpResponse<byte[]> reply = this.client.get(source.uri("/v1/configuration"), PROBE_TIMEOUT);
			if (reply.statusCode() == 200) {
				this.configuration.offer(Json.read(reply.body(), AppliedConfiguration.class), source.toString());
			}
		}
		catch (IOException ex) {
			// Another message or probe will show the newer generation again.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Map<String, String> commonHeaders() {
		AppliedConfiguration current = this.configuration.current();
		return Map.of(Headers.INCARNATION, this.identity.incarnation(), Headers.GENERATION,
				Long.toString(current.generation()), Headers.DIGEST, current.digest(), Headers.SENDER,
				this.identity.address().toString());
	}

	private void observeRequest(Exchange exchange) {
		commonHeaders().forEach(exchange::setHeader);
		String sender = exchange.header(Headers.SENDER);
		if (sender != null) {
			observeGeneration(exchange.headerLong(Headers.GENERATION, 0), Address.parse(sender));
		}
	}

	private void observeReply(HttpResponse<?> reply) {
		reply.headers()
			.firstValue(Headers.SENDER)
			.ifPresent((sender) -> observeGeneration(reply.headers().firstValueAsLong(Headers.GENERATION).orElse(0),
					Address.parse(sender)));
	}

	private static boolean pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.port.close();
	}

	/**
	 * A step of a periodic task.
	 */
	@FunctionalInterface
	private interface Task {

		void run() throws IOException, InterruptedException, PlatformException;

	}

}
