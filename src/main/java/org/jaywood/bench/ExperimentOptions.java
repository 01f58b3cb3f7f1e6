package org.jaywood.bench;

import java.nio.file.Path;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Options of an experiment.
 *
 * @param profile shape of the installation
 * @param seed seed of all random choices
 * @param replicas number of agents, 0 for that of the profile
 * @param readers number of slow readers
 * @param seconds length of each phase
 * @param output file to which the JSON line is appended, or null
 * @param arguments further arguments, for example a trace to replay
 */
public record ExperimentOptions(Profile profile, long seed, int replicas, int readers, int seconds,
		@Nullable Path output, List<String> arguments) {
}
