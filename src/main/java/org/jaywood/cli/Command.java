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
	 * Whether SIGHUP tells the process that its settings may have changed.
	 */
	default boolean handlesReloadSignal() {
		return false;
	}

	/**
	 * Runs the command.
	 * @return exit status
	 * @throws Exception any failure; it is reported as one line
	 */
	int run() throws Exception;

}
