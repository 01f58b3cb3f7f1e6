package org.jaywood.peer;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import com.sun.net.httpserver.HttpServer;
import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationHolder;
import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.store.HttpPlatform;
import org.jaywood.store.VmPage;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;
import org.jaywood.wire.WireException;

/**
 * Part of a process that communicates with platform and peers. It holds the configuration
 * and the membership, keeps both current, and responds to probes.
 */
public final class PeerNode implements AutoCloseable {

	private static final int MAX_PROBE_BYTES = 4_096;

	private static final long MAX_SILENCE_MILLIS = 30_000;

	private final ProcessIdentity identity;

	private final EventLog log;

	private final @Nullable Credential credential;

	private final Optional<Address> policyViolation;

	private final ConfigurationHolder configuration;

	private final Membership membership = new Membership();

	private final MetricRegistry metrics = ProcessMetrics.create();

	private final ControlTraffic traffic = new ControlTraffic(this.metrics);

	private final HttpPlatform platform;

	private final WireClient client;

	private final HttpPort port;

	private final List<HttpPort> operatorPorts = new ArrayList<>();

	private final BooleanSupplier leaving;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final PlatformContact platformContact;

	private final Isolation isolation;

	private final PlatformWatch platformWatch;

	private final PeerProbe peerProbe;

	private final StartSync startSync;

	private final ProbePace probePace = new ProbePace(System.currentTimeMillis());

	private final WatcherElection watcherElection = new WatcherElection();

	private final Semaphore immediateProbe = new Semaphore(0);

	/**
	 * Creates a node.
	 * @param identity identity of the process
	 * @param listenAddress address of the peer port
	 * @param platformAddress address of the platform
	 * @param credential credential between processes, or null
	 * @param log log of the process
	 * @param leaving whether the process refuses new work because it stops
	 * @param otherAddresses other addresses that the process listens on
	 */
	public PeerNode(ProcessIdentity identity, Address listenAddress, Address platformAddress,
			@Nullable Credential credential, EventLog log, BooleanSupplier leaving, Address... otherAddresses) {
		this.identity = identity;
		this.log = log;
		this.credential = credential;
		this.leaving = leaving;
		this.policyViolation = PortPolicy.violation(credential,
				Stream.concat(Stream.of(listenAddress), Stream.of(otherAddresses)).toArray(Address[]::new));
		this.configuration = new ConfigurationHolder(log);
		this.platform = new HttpPlatform(
				new WireClient(listenAddress.host(), null, Map::of, this.traffic::countOutgoing), platformAddress);
		this.client = new WireClient(listenAddress.host(), credential, this::commonHeaders, this::onResponse);
		long nowMillis = System.currentTimeMillis();
		this.platformContact = new PlatformContact(log, nowMillis);
		this.isolation = new Isolation(MAX_SILENCE_MILLIS, this.platformContact, log, nowMillis);
		this.platformWatch = new PlatformWatch(this.platform, this.configuration, this.membership, this.platformContact,
				this::isWatcher);
		this.peerProbe = new PeerProbe(this.client, this.configuration, this.membership, identity.address(),
				this::ownProbe, this::onProbe, this.executor);
		this.startSync = new StartSync(this.platformWatch, this.peerProbe,
				() -> this.configuration.current().generation());
		this.configuration.onChange((current) -> onStateChange());
		this.port = openPort(listenAddress).route("POST", "/v1/probe", this::respondToProbe)
			.route("GET", "/v1/configuration", (exchange) -> respondAndCount(exchange, this.configuration.current()))
			.route("GET", "/v1/vms", this::respondWithVms);
		this.membership.onChange(this::onStateChange);
	}

	private void onStateChange() {
		this.probePace.onChange(System.currentTimeMillis());
		this.immediateProbe.release();
	}

	private HttpPort openPort(Address address) {
		if (this.policyViolation.isEmpty()) {
			return HttpPort.open(address, this.log, this.credential, this::onRequest);
		}
		try {
			return HttpPort.forServer(HttpServer.create(), this.log);
		}
		catch (IOException ex) {
			throw new WireException("cannot create an HTTP server for " + address, ex);
		}
	}

	/**
	 * Creates the operator port of the process, which serves {@code /metrics}. It opens
	 * in {@link #start}.
	 */
	public HttpPort operatorPort(Address address) {
		HttpPort operatorPort = this.policyViolation.isPresent() ? openPort(address)
				: HttpPort.open(address, this.log, this.credential, (exchange) -> {
				});
		operatorPort.route("GET", "/metrics",
				(exchange) -> exchange.respondJson(200, ProcessMetrics.report(this.metrics)));
		this.operatorPorts.add(operatorPort);
		return operatorPort;
	}

	public ProcessIdentity identity() {
		return this.identity;
	}

	public ConfigurationHolder configuration() {
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

	public MetricRegistry metrics() {
		return this.metrics;
	}

	/**
	 * Opens the ports, adopts the configuration with the highest generation among
	 * platform and peers, which takes a few seconds at most, and starts the tasks that
	 * keep it current.
	 */
	public void start() {
		this.policyViolation.ifPresentOrElse((address) -> this.log.log(Event.CONTROL_PORTS_CLOSED, "address", address),
				() -> {
					this.port.start();
					this.operatorPorts.forEach(HttpPort::start);
				});
		this.startSync.run(System.currentTimeMillis());
		this.executor.execute(() -> guard("watch configuration").repeat(this.platformWatch::watchConfiguration,
				this.executor::isShutdown));
		this.executor.execute(() -> guard("watch VMs").repeat(this.platformWatch::watchVms, this.executor::isShutdown));
		this.executor.execute(() -> guard("probe peers").repeat(this::probePeers, this.executor::isShutdown));
	}

	/**
	 * Whether the initial sync with platform and peers is complete or a configuration is
	 * known.
	 */
	public boolean ready() {
		return this.startSync.isDone();
	}

	/**
	 * Whether this process has had no contact with platform or peers for so long that it
	 * must refuse new work.
	 */
	public boolean isolated(long nowMillis) {
		return this.isolation.isolated(nowMillis);
	}

	public long lastContactMillis() {
		return this.isolation.lastContactMillis();
	}

	private boolean isWatcher() {
		return this.watcherElection.isElected(this.membership.liveList(), this.identity.dataCentre(),
				this.identity.vm());
	}

	/**
	 * Returns the part of the state dump about configuration and membership.
	 */
	public Map<String, Object> state() {
		AppliedConfiguration current = this.configuration.current();
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("ready", ready());
		state.put("generation", current.generation());
		state.put("digest", current.digest());
		state.put("author", current.author());
		state.put("lastContactMillis", lastContactMillis());
		state.put("lastPlatformContactMillis", this.platformContact.lastAnswerMillis());
		state.put("lastPeerContactMillis", this.isolation.lastPeerContactMillis());
		state.put("platformReachable", this.platformContact.reachable());
		state.put("isolated", isolated(System.currentTimeMillis()));
		state.put("watcher", isWatcher());
		state.put("membershipVersion", this.membership.version());
		state.put("peers", this.membership.live().count());
		return state;
	}

	private TaskGuard guard(String task) {
		return new TaskGuard(task, this.log);
	}

	private void probePeers() throws InterruptedException {
		while (!Thread.currentThread().isInterrupted()) {
			long nowMillis = System.currentTimeMillis();
			this.peerProbe.probeRandomPeers(this.probePace.probeCount(nowMillis, this.isolation.lastPeerContactMillis(),
					this.leaving.getAsBoolean()));
			this.isolation.logTransitions(nowMillis);
			// A change of configuration or membership ends the wait, so that peers are
			// probed immediately.
			this.immediateProbe.tryAcquire(this.probePace.intervalMillis(nowMillis), TimeUnit.MILLISECONDS);
			this.immediateProbe.drainPermits();
		}
	}

	private Probe ownProbe() {
		AppliedConfiguration current = this.configuration.current();
		return new Probe(this.identity.incarnation(), this.identity.role(), this.identity.vm(),
				this.identity.dataCentre(), this.identity.address(), current.generation(), current.digest(),
				this.membership.version(), this.leaving.getAsBoolean());
	}

	private void respondToProbe(Exchange exchange) throws IOException {
		Probe probe = exchange.readJson(Probe.class, MAX_PROBE_BYTES);
		this.startSync.onPeerProbe(probe.address());
		onProbe(probe);
		respondAndCount(exchange, ownProbe());
	}

	private void respondWithVms(Exchange exchange) throws IOException {
		Optional<VmPage> changes = this.membership.changesAfter(exchange.queryLong("after", 0));
		if (changes.isPresent()) {
			respondAndCount(exchange, changes.get());
		}
		else {
			exchange.respondError(410, "changes so old are forgotten");
		}
	}

	private void respondAndCount(Exchange exchange, Object content) throws IOException {
		byte[] body = Json.bytes(content);
		this.traffic.countIncoming(exchange, commonHeaders(), body.length);
		exchange.respond(200, "application/json", body);
	}

	private void onProbe(Probe probe) {
		this.isolation.onPeerContact(System.currentTimeMillis());
		if (probe.leaving()) {
			this.membership.observeLeaving(probe.address());
		}
		else {
			this.membership.observeServing(probe.address());
		}
		this.peerProbe.onPeerGeneration(probe.generation(), probe.address());
		this.peerProbe.onPeerMembershipVersion(probe.membershipVersion(), probe.address());
	}

	private Map<String, String> commonHeaders() {
		AppliedConfiguration current = this.configuration.current();
		return Map.of(Headers.INCARNATION, this.identity.incarnation(), Headers.GENERATION,
				Long.toString(current.generation()), Headers.DIGEST, current.digest(), Headers.SENDER,
				this.identity.address().toString());
	}

	private void onRequest(Exchange exchange) {
		commonHeaders().forEach(exchange::setHeader);
		String sender = exchange.header(Headers.SENDER);
		if (sender != null) {
			this.peerProbe.onPeerGeneration(exchange.headerLong(Headers.GENERATION, 0), Address.parse(sender));
		}
	}

	private void onResponse(HttpResponse<?> response) {
		if (ControlTraffic.isControl(response.request().uri().getPath())) {
			this.traffic.countOutgoing(response);
		}
		response.headers()
			.firstValue(Headers.SENDER)
			.ifPresent((sender) -> this.peerProbe.onPeerGeneration(
					response.headers().firstValueAsLong(Headers.GENERATION).orElse(0), Address.parse(sender)));
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
		this.port.close();
		this.operatorPorts.forEach(HttpPort::close);
	}

}
