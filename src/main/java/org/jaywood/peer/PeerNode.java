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
 * The part of a process that talks to its peers: it holds the configuration and the
 * membership, answers probes and keeps both current from the platform and from peers.
 */
public final class PeerNode implements AutoCloseable {

	private static final int PROBE_LIMIT_BYTES = 4_096;

	private static final long ISOLATION_MILLIS = 30_000;

	private final ProcessIdentity identity;

	private final EventLog log;

	private final @Nullable Credential credential;

	private final Optional<Address> closedBecauseOf;

	private final ConfigurationHolder configuration;

	private final Membership membership = new Membership();

	private final MetricRegistry metrics = ProcessMetrics.create();

	private final ControlTraffic traffic = new ControlTraffic(this.metrics);

	private final HttpPlatform platform;

	private final WireClient client;

	private final HttpPort port;

	private final List<HttpPort> operatorPorts = new ArrayList<>();

	private final BooleanSupplier leaving;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private final PlatformContact platformContact;

	private final Isolation isolation;

	private final PlatformWatch watch;

	private final PeerProbe peers;

	private final StartSync startSync;

	private final ProbePace pace = new ProbePace(System.currentTimeMillis());

	private final WatcherElection election = new WatcherElection();

	private final Semaphore probeNow = new Semaphore(0);

	/**
	 * Creates a node.
	 * @param identity who the process is
	 * @param listenAddress peer port
	 * @param platformAddress platform
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
		this.closedBecauseOf = PortPolicy.violation(credential,
				Stream.concat(Stream.of(listenAddress), Stream.of(otherAddresses)).toArray(Address[]::new));
		this.configuration = new ConfigurationHolder(log);
		this.platform = new HttpPlatform(
				new WireClient(listenAddress.host(), null, Map::of, this.traffic::countOutgoing), platformAddress);
		this.client = new WireClient(listenAddress.host(), credential, this::commonHeaders, this::observeReply);
		long nowMillis = System.currentTimeMillis();
		this.platformContact = new PlatformContact(log, nowMillis);
		this.isolation = new Isolation(ISOLATION_MILLIS, this.platformContact, log, nowMillis);
		this.watch = new PlatformWatch(this.platform, this.configuration, this.membership, this.platformContact,
				this::watcher);
		this.peers = new PeerProbe(this.client, this.configuration, this.membership, identity.address(), this::ownProbe,
				this::observeProbe, this.tasks);
		this.startSync = new StartSync(this.watch, this.peers, () -> this.configuration.current().generation());
		this.configuration.onChange((current) -> changed());
		this.port = openPort(listenAddress).route("POST", "/v1/probe", this::answerProbe)
			.route("GET", "/v1/configuration", (exchange) -> answer(exchange, this.configuration.current()))
			.route("GET", "/v1/vms", this::answerVms);
		this.membership.onChange(this::changed);
	}

	private void changed() {
		this.pace.changed(System.currentTimeMillis());
		this.probeNow.release();
	}

	private HttpPort openPort(Address address) {
		if (this.closedBecauseOf.isEmpty()) {
			return HttpPort.open(address, this.log, this.credential, this::observeRequest);
		}
		try {
			return HttpPort.forServer(HttpServer.create(), this.log);
		}
		catch (IOException ex) {
			throw new WireException("cannot create a port", ex);
		}
	}

	/**
	 * Creates the operator port of the process, which serves {@code /metrics}. It opens
	 * when this node starts.
	 */
	public HttpPort operatorPort(Address address) {
		HttpPort operatorPort = this.closedBecauseOf.isPresent() ? openPort(address)
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
	 * Opens the ports, takes the highest configuration of platform and peers, which takes
	 * a few seconds at most, and starts the tasks that keep it current.
	 */
	public void start() {
		this.closedBecauseOf.ifPresentOrElse((address) -> this.log.log(Event.CONTROL_PORTS_CLOSED, "address", address),
				() -> {
					this.port.start();
					this.operatorPorts.forEach(HttpPort::start);
				});
		this.startSync.run(System.currentTimeMillis());
		this.tasks.execute(this.watch::followConfiguration);
		this.tasks.execute(this.watch::followVms);
		this.tasks.execute(this::probePeers);
	}

	/**
	 * Whether the highest configuration of platform and peers was taken since the start.
	 */
	public boolean ready() {
		return this.startSync.done();
	}

	/**
	 * Whether neither the platform nor a peer was heard for so long that this process
	 * must refuse new work.
	 */
	public boolean isolated(long nowMillis) {
		return this.isolation.isolated(nowMillis);
	}

	public long lastContactMillis() {
		return this.isolation.lastContactMillis();
	}

	private boolean watcher() {
		return this.election.elects(this.membership.liveList(), this.identity.dataCentre(), this.identity.vm());
	}

	/**
	 * Part of the state dump on configuration and membership.
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
		state.put("lastPeerContactMillis", this.isolation.lastPeerMillis());
		state.put("platformReachable", this.platformContact.reachable());
		state.put("isolated", isolated(System.currentTimeMillis()));
		state.put("watcher", watcher());
		state.put("membershipVersion", this.membership.version());
		state.put("peers", this.membership.live().count());
		return state;
	}

	private void probePeers() {
		while (!Thread.currentThread().isInterrupted()) {
			long nowMillis = System.currentTimeMillis();
			this.peers
				.probeRandom(this.pace.probes(nowMillis, this.isolation.lastPeerMillis(), this.leaving.getAsBoolean()));
			this.isolation.report(nowMillis);
			try {
				// A changed configuration is shown to peers at once.
				this.probeNow.tryAcquire(this.pace.intervalMillis(nowMillis), TimeUnit.MILLISECONDS);
				this.probeNow.drainPermits();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private Probe ownProbe() {
		AppliedConfiguration current = this.configuration.current();
		return new Probe(this.identity.incarnation(), this.identity.role(), this.identity.vm(),
				this.identity.dataCentre(), this.identity.address(), current.generation(), current.digest(),
				this.membership.version(), this.leaving.getAsBoolean());
	}

	private void answerProbe(Exchange exchange) throws IOException {
		Probe probe = exchange.json(Probe.class, PROBE_LIMIT_BYTES);
		this.startSync.heard(probe.address());
		observeProbe(probe);
		answer(exchange, ownProbe());
	}

	private void answerVms(Exchange exchange) throws IOException {
		Optional<VmPage> changes = this.membership.changesAfter(exchange.queryLong("after", 0));
		if (changes.isPresent()) {
			answer(exchange, changes.get());
		}
		else {
			exchange.respondError(410, "changes so old are forgotten");
		}
	}

	private void answer(Exchange exchange, Object content) throws IOException {
		byte[] body = Json.bytes(content);
		this.traffic.countIncoming(exchange, commonHeaders(), body.length);
		exchange.respond(200, "application/json", body);
	}

	private void observeProbe(Probe probe) {
		this.isolation.heardPeer(System.currentTimeMillis());
		if (probe.leaving()) {
			this.membership.observeLeaving(probe.address());
		}
		else {
			this.membership.observeServing(probe.address());
		}
		this.peers.noteGeneration(probe.generation(), probe.address());
		this.peers.noteMembership(probe.membershipVersion(), probe.address());
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
			this.peers.noteGeneration(exchange.headerLong(Headers.GENERATION, 0), Address.parse(sender));
		}
	}

	private void observeReply(HttpResponse<?> reply) {
		if (ControlTraffic.isControl(reply.request().uri().getPath())) {
			this.traffic.countOutgoing(reply);
		}
		reply.headers()
			.firstValue(Headers.SENDER)
			.ifPresent((sender) -> this.peers
				.noteGeneration(reply.headers().firstValueAsLong(Headers.GENERATION).orElse(0), Address.parse(sender)));
	}

	@Override
	public void close() {
		this.tasks.shutdownNow();
		this.port.close();
		this.operatorPorts.forEach(HttpPort::close);
	}

}
