package org.jaywood.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.Deployment;

/**
 * Command that applies a deployment file as a whole.
 */
@Parameters(commandDescription = "Applies a deployment file as a whole")
final class ApplyCommand implements Command {

	@Parameter(description = "FILE", required = true)
	private List<String> files = new ArrayList<>();

	@ParametersDelegate
	private final OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--author", description = "Author recorded with the new generation")
	private String author = System.getProperty("user.name", "unknown");

	@Parameter(names = "--expect-generation", converter = Converters.GenerationConverter.class,
			description = "Applies only if this generation is in force; 0 if none was ever applied")
	private @Nullable Long expectedGeneration;

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public int run() {
		Deployment deployment = OperatorOptions.readDeployment(this.files);
		AppliedConfiguration applied = this.options.repository()
			.apply(deployment, this.options.applyOptions(this.author, this.expectedGeneration));
		System.out.println("applied: generation " + applied.generation() + " digest " + applied.digest() + " apply id "
				+ applied.applyId());
		return 0;
	}

}
