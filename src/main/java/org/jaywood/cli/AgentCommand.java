package org.jaywood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.agent.Agent;
import org.jaywood.agent.AgentSettings;
import org.jaywood.agent.CallSettings;
import org.jaywood.event.EventLog;
import org.jaywood.peer.PortPolicy;
import org.jaywood.weights.WeightMode;
import org.jaywood.weights.WeightSettings;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;

/**
 * Command that runs an agent.
 */
@Parameters(commandDescription = "Runs the agent of an upstream")
@SuppressWarnings("NullAway.Init")
final class AgentCommand implements Command {

	@ParametersDelegate
	private final NodeOptions node = new NodeOptions();

	@Parameter(names = "--service", required = true, validateWith = Converters.NameValidator.class,
			description = "Service of the upstream")
	private String service;

	@Parameter(names = "--upstream", required = true, converter = Converters.AddressConverter.class,
			description = "Address of the upstream, ip:port")
	private Address upstream;

	@Parameter(names = "--store", required = true, converter = Converters.AddressConverter.class,
			description = "Weight store, ip:port")
	private Address store;

	@Parameter(names = "--store-region", description = "Region of the weight store, if known")
	private String storeRegion = "";

	@Parameter(names = "--staging-bytes", description = "Largest size of the weights kept in memory, in bytes")
	private long stagingBytes = WeightSettings.DEFAULT_STAGING_BYTES;

	@Parameter(names = "--region-link-bytes-per-second",
			description = "Highest rate of weight traffic from one region to another, in bytes per second")
	private long regionLinkBytesPerSecond = WeightSettings.DEFAULT_REGION_LINK_BYTES_PER_SECOND;

	@Parameter(names = "--lease-millis",
			description = "Duration of the leases of the engine and of an activation slot, in milliseconds")
	private long leaseMillis = 10_000;

	@Parameter(names = "--weight-mode", hidden = true,
			description = "How weights are distributed: TREE, or STORE and PLAIN as baselines of the burst experiment")
	private WeightMode weightMode = WeightMode.TREE;

	@Parameter(names = "--stall-millis",
			description = "Time without credit after which a stream ends its call at the engine, in milliseconds")
	private long creditTimeoutMillis = CallSettings.DEFAULT.creditTimeoutMillis();

	@Parameter(names = "--write-timeout-millis", description = "Time-out of one write to a router, in milliseconds")
	private long writeTimeoutMillis = CallSettings.DEFAULT.writeTimeoutMillis();

	@Parameter(names = "--token-bytes", description = "Memory that the engine needs for one token, in bytes")
	private long tokenBytes = CallSettings.DEFAULT.tokenBytes();

	@Override
	public String name() {
		return "agent";
	}

	@Override
	public int run() throws InterruptedException {
		PortPolicy.violation(Credential.parse(this.node.credential), this.node.listen, this.node.operator)
			.ifPresent((address) -> {
				throw new ParameterException("--credential is not set: an agent that listens on " + address
						+ " needs one, because others reach this address");
			});
		AgentSettings settings = new AgentSettings(this.node.vm, this.node.region, this.node.dataCentre, this.service,
				this.node.listen, this.node.advertised(), this.node.operator, this.upstream, this.node.platform,
				this.store, this.storeRegion, Credential.parse(this.node.credential), this.node.drainMillis,
				this.stagingBytes, this.regionLinkBytesPerSecond, this.leaseMillis, this.weightMode);
		Agent agent = new Agent(settings, callSettings(), new EventLog(this.node.vm));
		return Daemon.run(agent::start, agent::drain);
	}

	private CallSettings callSettings() {
		CallSettings defaults = CallSettings.DEFAULT;
		return new CallSettings(this.tokenBytes, this.creditTimeoutMillis, defaults.resumeWaitMillis(),
				this.writeTimeoutMillis, defaults.plainConcurrency(), defaults.plainMemoryBytes(),
				defaults.plainBodyBytes());
	}

}
