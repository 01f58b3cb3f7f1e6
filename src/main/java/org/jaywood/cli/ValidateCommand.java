package org.jaywood.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.jaywood.config.DeploymentParser;

/**
 * Checks a deployment file.
 */
@Parameters(commandDescription = "Checks a deployment file and reports all errors")
final class ValidateCommand implements Command {

	@Parameter(description = "FILE", required = true)
	private List<String> files = new ArrayList<>();

	@Override
	public String name() {
		return "validate";
	}

	@Override
	public int run() throws Exception {
		new DeploymentParser().parse(Files.readAllBytes(Path.of(this.files.getFirst())));
		System.out.println("valid: " + this.files.getFirst());
		return 0;
	}

}
