package org.jaywood.config;

/**
 * An apply that changed nothing because another configuration is in force than the author
 * assumed.
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
	 * Generation now in force.
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Author of the generation now in force.
	 */
	public String author() {
		return this.author;
	}

}
