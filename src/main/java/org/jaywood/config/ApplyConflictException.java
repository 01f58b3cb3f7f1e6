package org.jaywood.config;

/**
 * Failure of an apply that changed nothing because the configuration in force is not the
 * one that the author expected.
 */
public class ApplyConflictException extends ConfigurationException {

	private final long generation;

	private final String author;

	public ApplyConflictException(AppliedConfiguration inForce, String reason) {
		super(reason + ": generation " + inForce.generation() + " by "
				+ (inForce.author().isEmpty() ? "nobody" : inForce.author())
				+ " is in force; this apply changed nothing");
		this.generation = inForce.generation();
		this.author = inForce.author();
	}

	/**
	 * Returns the generation in force.
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Returns the author of the generation in force.
	 */
	public String author() {
		return this.author;
	}

}
