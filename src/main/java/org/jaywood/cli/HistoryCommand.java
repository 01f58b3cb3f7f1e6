package org.jaywood.cli;

import java.time.Instant;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationRepository;

/**
 * Command that lists applied generations.
 */
@Parameters(commandDescription = "Lists applied generations, latest first")
final class HistoryCommand implements Command {

	@ParametersDelegate
	private final OperatorOptions options = new OperatorOptions();

	@Parameter(names = "--limit", converter = Converters.PositiveConverter.class,
			description = "Largest number of generations to list")
	private Long limit = 20L;

	@Override
	public String name() {
		return "history";
	}

	@Override
	public int run() {
		ConfigurationRepository repository = this.options.repository();
		AppliedConfiguration inForce = repository.current().orElse(AppliedConfiguration.NONE);
		System.out.printf("%-10s %-24s %-16s %-36s %s%n", "generation", "applied at", "author", "apply id", "digest");
		print(inForce);
		repository.history()
			.list(inForce.generation() - 1, (int) Math.min(this.limit - 1, 10_000))
			.forEach(HistoryCommand::print);
		return 0;
	}

	private static void print(AppliedConfiguration applied) {
		if (applied.generation() > 0) {
			System.out.printf("%-10d %-24s %-16s %-36s %.12s%n", applied.generation(),
					Instant.ofEpochMilli(applied.appliedAtMillis()), applied.author(), applied.applyId(),
					applied.digest());
		}
	}

}
