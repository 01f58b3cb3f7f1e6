package org.jaywood.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.jaywood.bench.BurstExperiment;
import org.jaywood.bench.CapacityExperiment;
import org.jaywood.bench.DataCentreExperiment;
import org.jaywood.bench.Demo;
import org.jaywood.bench.Experiment;
import org.jaywood.bench.ExperimentOptions;
import org.jaywood.bench.Profile;
import org.jaywood.bench.ReplayExperiment;
import org.jaywood.bench.ResultPlot;
import org.jaywood.bench.RoutingExperiment;
import org.jaywood.bench.SlowReadersExperiment;

/**
 * Command that runs experiments.
 */
@Parameters(commandDescription = "Runs an experiment or the demo with real processes")
final class BenchCommand implements Command {

	private static final List<Experiment> EXPERIMENTS = List.of(new Demo(), new BurstExperiment(),
			new CapacityExperiment(), new DataCentreExperiment(), new SlowReadersExperiment(), new RoutingExperiment(),
			new ReplayExperiment(), new ResultPlot());

	@Parameter(description = "EXPERIMENT [ARGUMENT...]", required = true)
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--profile", description = "Profile of the installation: kitamori or association")
	private String profile = "kitamori";

	@Parameter(names = "--seed", description = "Seed of all random choices")
	private long seed = 1;

	@Parameter(names = "--replicas", description = "Number of agents; 0 for the number in the profile")
	private int replicas;

	@Parameter(names = "--readers", description = "Number of slow readers")
	private int readers = 100;

	@Parameter(names = "--seconds", description = "Duration of each phase in seconds")
	private int seconds = 5;

	@Parameter(names = "--output", description = "File to which the JSON line of the result is appended")
	private @Nullable String output;

	@Override
	public String name() {
		return "bench";
	}

	@Override
	public int run() throws Exception {
		String name = this.arguments.getFirst();
		Experiment experiment = EXPERIMENTS.stream()
			.filter((candidate) -> candidate.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new ParameterException("experiment '" + name + "' is not allowed: expected "
					+ EXPERIMENTS.stream().map(Experiment::name).collect(Collectors.joining(", "))));
		return experiment.run(new ExperimentOptions(Profile.named(this.profile), this.seed, this.replicas, this.readers,
				this.seconds, (this.output != null) ? Path.of(this.output) : null,
				this.arguments.subList(1, this.arguments.size())));
	}

}
