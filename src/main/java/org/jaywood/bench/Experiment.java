package org.jaywood.bench;

import java.io.IOException;

/**
 * An experiment on an installation of real processes.
 */
public interface Experiment {

	/**
	 * Returns the name on the command line.
	 */
	String name();

	/**
	 * Runs the experiment, prints its result and ends the processes it started.
	 * @return exit status, 0 if the expected outcome was reached
	 */
	int run(ExperimentOptions options) throws IOException, InterruptedException;

}
