package org.jaywood.config;

/**
 * An apply of which the platform gave no answer for so long that it is not known whether
 * it took effect.
 */
public class ApplyUnknownException extends ConfigurationException {

	public ApplyUnknownException(AppliedConfiguration next, Throwable cause) {
		super("unknown whether generation " + next.generation() + " with apply id " + next.applyId()
				+ " took effect: the platform does not answer (" + cause.getMessage()
				+ "); look for the apply id in 'jaywood history' when the platform answers again", cause);
	}

}
