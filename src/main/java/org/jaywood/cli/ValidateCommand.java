package org.jaywood.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Command that checks a deployment file.
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
	public int run() {
		OperatorOptions.readDeployment(this.files);
		System.out.println("valid: " + this.files.getFirst());
		return 0;
	}

}
