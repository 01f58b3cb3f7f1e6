package org.jaywood.bench;

import java.io.IOException;

/**
 * An experiment with real processes.
 */
public interface Experiment {

	/**
	 * Name on the command line.
	 */
	String name();

	/**
	 * Runs the experiment, prints its result and ends the processes it started.
	 * @return exit status, 0 if the stated outcome was reached
	 */
	int run(ExperimentOptions options) throws IOException, InterruptedException;

}
