package org.jaywood.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.config.Deployment;
import org.jaywood.config.DeploymentParser;
import org.jaywood.platform.HttpPlatform;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

/**
 * Applies a deployment file as a whole.
 */
@Parameters(commandDescription = "Applies a deployment file as a whole")
@SuppressWarnings("NullAway.Init")
final class ApplyCommand implements Command {

	@Parameter(description = "FILE", required = true)
	private List<String> files = new ArrayList<>();

	@Parameter(names = "--platform", required = true, converter = Converters.AddressConverter.class,
			description = "Object API of the platform, ip:port")
	private Address platform;

	@Parameter(names = "--author", description = "Who applies")
	private String author = System.getProperty("user.name", "unknown");

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public int run() throws Exception {
		Deployment deployment = new DeploymentParser().parse(Files.readAllBytes(Path.of(this.files.getFirst())));
		AppliedConfiguration applied = new ConfigurationRepository(
				new HttpPlatform(WireClient.plain(null), this.platform))
			.apply(deployment, this.author, System.currentTimeMillis());
		System.out.println("applied: generation " + applied.generation() + " digest " + applied.digest());
		return 0;
	}

}
