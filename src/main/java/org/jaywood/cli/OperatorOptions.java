package org.jaywood.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ApplyOptions;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.config.Deployment;
import org.jaywood.config.DeploymentParser;
import org.jaywood.peer.PeerConfigurationReader;
import org.jaywood.store.Futures;
import org.jaywood.store.HttpPlatform;
import org.jaywood.store.PlatformException;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;
import org.jaywood.wire.WireClient;

/**
 * Options that the commands for operators share.
 */
@SuppressWarnings("NullAway.Init")
class OperatorOptions {

	/** Largest number of peers asked for their generation if the operator names none. */
	private static final int MAX_SAMPLED_PEERS = 8;

	@Parameter(names = "--platform", required = true, converter = Converters.AddressConverter.class,
			description = "Object API and VM list of the platform, ip:port")
	Address platform;

	@Parameter(names = "--peer", converter = Converters.AddressConverter.class,
			description = "Peer port of a router or agent to ask in addition to the platform, ip:port; repeatable")
	List<Address> peers = new ArrayList<>();

	@Parameter(names = "--credential", validateWith = Converters.CredentialValidator.class,
			description = "Credential between processes")
	@Nullable String credential;

	WireClient client() {
		return new WireClient(null, Credential.parse(this.credential), Map::of, (response) -> {
		});
	}

	HttpPlatform platformClient() {
		return new HttpPlatform(WireClient.plain(null), this.platform);
	}

	ConfigurationRepository repository() {
		return new ConfigurationRepository(platformClient());
	}

	PeerConfigurationReader peerReader() {
		return new PeerConfigurationReader(client());
	}

	/**
	 * Returns the options of an apply. The new generation will be above those of the
	 * named peers or, if none is named, of a random sample of live VMs from the platform.
	 */
	ApplyOptions applyOptions(String author, @Nullable Long expectedGeneration) {
		long highestSeenGeneration = peerReader()
			.highestConfiguration(this.peers.isEmpty() ? sampledPeers() : this.peers)
			.map(AppliedConfiguration::generation)
			.orElse(0L);
		return new ApplyOptions(author, System.currentTimeMillis(),
				(expectedGeneration != null) ? OptionalLong.of(expectedGeneration) : OptionalLong.empty(),
				highestSeenGeneration);
	}

	private List<Address> sampledPeers() {
		try {
			List<Address> peerAddresses = new ArrayList<>(Futures.await(platformClient().awaitChanges(0, 0))
				.vms()
				.stream()
				.filter((entry) -> entry.state() == VmState.LIVE)
				.map(VmRecord::address)
				.toList());
			Collections.shuffle(peerAddresses);
			return peerAddresses.stream().limit(MAX_SAMPLED_PEERS).toList();
		}
		catch (PlatformException ex) {
			// The apply itself will report the outage.
			return List.of();
		}
	}

	static Deployment readDeployment(List<String> files) {
		if (files.size() != 1) {
			throw new ParameterException(
					"FILE value '" + String.join(" ", files) + "' is not allowed: expected one file");
		}
		Path file = Path.of(files.getFirst());
		try {
			if (Files.size(file) > 16L * DeploymentParser.MAX_FILE_BYTES) {
				throw new ParameterException("FILE value '" + file + "' is not allowed: expected at most "
						+ DeploymentParser.MAX_FILE_BYTES + " bytes");
			}
			return new DeploymentParser().parse(Files.readAllBytes(file));
		}
		catch (IOException ex) {
			throw new ParameterException("FILE value '" + file + "' is not allowed: expected a readable file");
		}
	}

}
