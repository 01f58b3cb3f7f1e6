package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Profile.Site;
import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceLimits;
import org.jaywood.config.ServiceSpec;
import org.jaywood.config.WeightsRef;
import org.jaywood.event.EventLog;
import org.jaywood.standin.EngineOptions;
import org.jaywood.standin.EngineStandin;
import org.jaywood.store.HttpPlatform;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * A complete installation on this machine with one process for each component: platform
 * and store stand-ins, routers, upstreams and their agents. Used by the demo, the
 * experiments and the integration tests.
 */
public final class Installation implements AutoCloseable {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final long START_TIMEOUT_MILLIS = 40_000;

	private final InstallationOptions options;

	private final Profile profile;

	private final ProcessFleet fleet;

	private final WireClient client;

	private final Layout layout;

	private final NetworkControl network;

	private final List<EngineStandin> engines = new ArrayList<>();

	private Installation(InstallationOptions options, ProcessFleet fleet) {
		this.options = options;
		this.profile = options.profile();
		this.fleet = fleet;
		this.client = new WireClient(null, Credential.parse(options.credential()), Map::of, (response) -> {
		});
		this.layout = new Layout(options, fleet);
		this.network = new NetworkControl(this.layout.network());
	}

	/**
	 * Starts all processes and waits until each answers.
	 * @param profile shape of the installation
	 * @param routerCount number of routers, assigned to the data centres in turn
	 */
	public static Installation start(Profile profile, int routerCount) throws IOException, InterruptedException {
		return start(InstallationOptions.of(profile).withRouters(routerCount));
	}

	/**
	 * Starts all processes and waits until each answers.
	 */
	public static Installation start(InstallationOptions options) throws IOException, InterruptedException {
		Installation installation = new Installation(options, new ProcessFleet());
		try {
			installation.startAll();
			return installation;
		}
		catch (IOException | InterruptedException | RuntimeException ex) {
			installation.close();
			throw ex;
		}
	}

	public Profile profile() {
		return this.profile;
	}

	public ProcessFleet fleet() {
		return this.fleet;
	}

	public WireClient client() {
		return this.client;
	}

	public Address platform() {
		return this.layout.platform();
	}

	public Address store() {
		return this.layout.store();
	}

	public List<Member> routers() {
		return this.layout.routers();
	}

	public List<Member> agents() {
		return this.layout.agents();
	}

	public List<Member> agentsOf(String service) {
		return agents().stream().filter((agent) -> agent.service().equals(service)).toList();
	}

	/**
	 * Returns the control of the network stand-in.
	 */
	public NetworkControl network() {
		if (!this.options.network()) {
			throw new IllegalStateException(
					"the installation was started without the network stand-in; use InstallationOptions.withNetwork()");
		}
		return this.network;
	}

	private void startAll() throws IOException, InterruptedException {
		startStandin("platform", "platform", this.layout.platform());
		startStandin("store", "store", this.layout.store());
		if (this.options.network()) {
			startStandin("network", "network", this.layout.network());
		}
		for (Member agent : agents()) {
			startUpstreamProcess(agent);
		}
		awaitStatus(this.layout.platform(), "/vms", 200);
		awaitStatus(this.layout.store(), "/record", 200);
		if (this.options.network()) {
			awaitStatus(this.layout.network(), "/record", 200);
			this.network.setTopology(this.layout.networkVms(), this.profile.links());
		}
		List<Member> all = this.layout.members();
		for (Member member : all) {
			startProcess(member);
		}
		for (Member member : all) {
			register(member, "LIVE");
		}
		for (Member member : all) {
			awaitStatus(member.operator(), "/state", 200);
		}
	}

	/**
	 * Starts or restarts the router or agent of a member.
	 */
	public void startProcess(Member member) throws IOException {
		startProcess(member, member.vm());
	}

	/**
	 * Starts the router or agent of a member under another process name, while a previous
	 * process of the same VM still runs.
	 */
	public void startProcess(Member member, String processName) throws IOException {
		List<String> arguments = new ArrayList<>(List.of(member.role(), "--vm", member.vm(), "--region",
				member.region(), "--data-centre", member.dataCentre(), "--listen", member.listen().toString(),
				"--advertise", member.advertised().toString(), "--operator", member.operator().toString(), "--platform",
				this.layout.reachableAddress(this.layout.platform()).toString()));
		if (member.role().equals("router")) {
			arguments.addAll(List.of("--caller", member.caller().toString()));
		}
		else {
			arguments.addAll(List.of("--service", member.service(), "--upstream", member.upstream().toString(),
					"--store", this.layout.reachableAddress(this.layout.store()).toString(), "--store-region",
					this.layout.platformRegion()));
		}
		if (this.options.credential() != null) {
			arguments.addAll(List.of("--credential", this.options.credential()));
		}
		arguments.addAll(this.options.flagsOf(member.role()));
		this.fleet.start(processName, arguments.toArray(String[]::new));
	}

	/**
	 * Starts or restarts the upstream of an agent.
	 */
	public void startUpstreamProcess(Member agent) throws IOException {
		if (this.options.enginesInProcess() && isModelService(agent.service())) {
			this.engines.add(new EngineStandin(agent.upstream(), EngineOptions.DEFAULT,
					new EventLog(upstreamProcessName(agent))));
			return;
		}
		startStandin(upstreamProcessName(agent), isModelService(agent.service()) ? "engine" : "service",
				agent.upstream());
	}

	/**
	 * Returns the process name of an agent's upstream.
	 */
	public static String upstreamProcessName(Member agent) {
		return agent.vm() + "-upstream";
	}

	private void startStandin(String name, String kind, Address listen) throws IOException {
		List<String> arguments = new ArrayList<>(List.of("standin", kind, "--listen", listen.toString()));
		if (kind.equals("engine")) {
			arguments.addAll(List.of("--token-millis", Long.toString(this.options.tokenMillis())));
		}
		arguments.addAll(this.options.flagsOf(kind));
		this.fleet.start(name, arguments.toArray(String[]::new));
	}

	private boolean isModelService(String service) {
		return this.profile.services().stream().anyMatch((shape) -> shape.name().equals(service) && shape.model());
	}

	/**
	 * Adds a VM to the platform's list or updates its entry.
	 * @param member the VM
	 * @param state {@code LIVE}, {@code LEAVING} or {@code GONE}
	 */
	public void register(Member member, String state) throws IOException, InterruptedException {
		byte[] entry = Json.bytes(
				Map.of("vm", member.vm(), "role", member.role(), "service", member.service(), "region", member.region(),
						"dataCentre", member.dataCentre(), "address", member.advertised(), "state", state));
		this.client.send(this.client.request(this.layout.platform().uri("/vms/" + member.vm()), REQUEST_TIMEOUT)
			.PUT(BodyPublishers.ofByteArray(entry))
			.build());
	}

	/**
	 * Adds a version of the model to the store.
	 * @return digest of its manifest
	 */
	public String addWeights(String version, long totalBytes, int chunkBytes) throws IOException, InterruptedException {
		HttpResponse<byte[]> response = this.client.post(this.layout.store().uri("/control/weights"),
				Map.of("name", "model", "version", version, "totalBytes", totalBytes, "chunkBytes", chunkBytes),
				REQUEST_TIMEOUT);
		return Json.tree(response.body()).path("manifest").asText();
	}

	/**
	 * Returns a deployment with all services of the profile in all data centres, all in
	 * service.
	 */
	public Deployment deployment(String version, String manifest) {
		return deployment(version, manifest, ServiceLimits.DEFAULT);
	}

	/**
	 * Returns the same deployment with the given limits for all services.
	 */
	public Deployment deployment(String version, String manifest, ServiceLimits limits) {
		List<String> names = this.profile.sites().stream().map(Site::dataCentre).toList();
		Map<String, DataCentre> dataCentres = this.profile.sites()
			.stream()
			.collect(Collectors.toMap(Site::dataCentre, (site) -> new DataCentre(site.region(), true)));
		Map<String, ServiceSpec> services = new LinkedHashMap<>();
		this.profile.services()
			.forEach((service) -> services.put(service.name(),
					new ServiceSpec(service.model() ? ServiceKind.MODEL : ServiceKind.PLAIN,
							service.model() ? List.of(new WeightsRef("model", version, manifest)) : List.of(), names,
							limits)));
		return new Deployment(dataCentres, services, Map.of());
	}

	public AppliedConfiguration apply(Deployment deployment) {
		return new ConfigurationRepository(new HttpPlatform(this.client, this.layout.platform())).apply(deployment,
				"bench", System.currentTimeMillis());
	}

	/**
	 * Returns the state dump of a router or agent.
	 */
	public JsonNode state(Member member) throws IOException, InterruptedException {
		return Json.tree(this.client.get(member.operator().uri("/state"), REQUEST_TIMEOUT).body());
	}

	/**
	 * Waits until each agent of a model service serves the given set of weights.
	 * @param weightsDigest digest of the set
	 * @param timeoutMillis longest wait
	 */
	public void awaitServing(String weightsDigest, long timeoutMillis) throws InterruptedException {
		List<Member> models = agents().stream().filter((agent) -> isModelService(agent.service())).toList();
		await("all engines serve " + weightsDigest, timeoutMillis, () -> {
			for (Member agent : models) {
				if (!state(agent).path("servedWeights").asText().equals(weightsDigest)) {
					return false;
				}
			}
			return true;
		});
	}

	/**
	 * Waits until every router and agent has this configuration generation or a later
	 * one.
	 */
	public void awaitGeneration(long generation, long timeoutMillis) throws InterruptedException {
		List<Member> members = this.layout.members();
		await("generation " + generation + " in force everywhere", timeoutMillis, () -> {
			for (Member member : members) {
				if (state(member).path("generation").asLong() < generation) {
					return false;
				}
			}
			return true;
		});
	}

	private void awaitStatus(Address address, String path, int status) throws InterruptedException {
		await(address + path + " answers " + status, START_TIMEOUT_MILLIS,
				() -> this.client.get(address.uri(path), REQUEST_TIMEOUT).statusCode() == status);
	}

	/**
	 * Polls a condition until it is met.
	 * @param condition description of the condition for the failure message
	 * @param timeoutMillis longest wait
	 * @param check the condition; an exception counts as not met
	 */
	public static void await(String condition, long timeoutMillis, Callable<Boolean> check)
			throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		Exception lastFailure = null;
		while (System.nanoTime() < deadlineNanos) {
			try {
				if (check.call()) {
					return;
				}
			}
			catch (InterruptedException ex) {
				throw ex;
			}
			catch (Exception ex) {
				lastFailure = ex;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		throw new IllegalStateException("condition not met within " + timeoutMillis + " ms: " + condition, lastFailure);
	}

	@Override
	public void close() {
		this.engines.forEach(EngineStandin::close);
		this.fleet.close();
	}

	/**
	 * A VM of the installation.
	 *
	 * @param vm name
	 * @param role {@code router} or {@code agent}
	 * @param service service of the upstream, empty for a router
	 * @param region region
	 * @param dataCentre data centre
	 * @param listen peer port
	 * @param advertised address under which others reach the peer port
	 * @param operator operator port
	 * @param caller caller port of a router
	 * @param upstream address of the upstream of an agent
	 */
	public record Member(String vm, String role, String service, String region, String dataCentre, Address listen,
			Address advertised, Address operator, Address caller, Address upstream) {
	}

}
