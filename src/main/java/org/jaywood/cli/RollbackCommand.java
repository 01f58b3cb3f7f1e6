package org.jaywood.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.jspecify.annotations.Nullable;

import org.jaywood.config.AppliedConfiguration;

/**
 * Command that applies the deployment of an earlier generation as a new generation.
 */
@Parameters(commandDescription = "Applies the deployment of an earlier generation as a new generation")
final class RollbackCommand implements Command {

	@Parameter(description = "GENERATION", required = true, converter = Converters.PositiveConverter.class)
	private List<Long> generations = new ArrayList<>();

	@ParametersDelegate
	private final OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--author", description = "Author recorded with the new generation")
	private String author = System.getProperty("user.name", "unknown");

	@Parameter(names = "--expect-generation", converter = Converters.GenerationConverter.class,
			description = "Rolls back only if this generation is in force")
	private @Nullable Long expectedGeneration;

	@Override
	public String name() {
		return "rollback";
	}

	@Override
	public int run() {
		if (this.generations.size() != 1) {
			throw new ParameterException("GENERATION value '" + this.generations + "' is not allowed: expected one");
		}
		long earlierGeneration = this.generations.getFirst();
		AppliedConfiguration applied = this.options.repository()
			.rollback(earlierGeneration, this.options.applyOptions(this.author, this.expectedGeneration));
		System.out.println("applied: generation " + applied.generation() + " with the deployment of generation "
				+ earlierGeneration + " digest " + applied.digest());
		return 0;
	}

}
