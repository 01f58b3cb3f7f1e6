package org.jaywood.cli;

/**
 * A subcommand: a JCommander parameter object that runs itself.
 */
public interface Command {

	/**
	 * Name on the command line.
	 */
	String name();

	/**
	 * Runs the command.
	 * @return exit status
	 * @throws Exception any failure; it is reported as one line
	 */
	int run() throws Exception;

}
