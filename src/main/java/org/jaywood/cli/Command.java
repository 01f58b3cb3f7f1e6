package org.jaywood.cli;

/**
 * A subcommand: a JCommander parameter object with the code to run.
 */
public interface Command {

	/**
	 * Returns the name on the command line.
	 */
	String name();

	/**
	 * Whether the process handles SIGHUP as a sign that its settings may have changed.
	 */
	default boolean handlesReloadSignal() {
		return false;
	}

	/**
	 * Runs the command.
	 * @return exit status of the process
	 * @throws Exception any failure; its message is printed in one line
	 */
	int run() throws Exception;

}
