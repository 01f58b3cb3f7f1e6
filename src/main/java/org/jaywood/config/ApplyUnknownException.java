package org.jaywood.config;

/**
 * Failure of an apply to which the platform did not respond in time, so that it is not
 * known whether the apply took effect.
 */
public class ApplyUnknownException extends ConfigurationException {

	public ApplyUnknownException(AppliedConfiguration next, Throwable cause) {
		super("unknown whether generation " + next.generation() + " with apply id " + next.applyId()
				+ " took effect: the platform does not respond (" + cause.getMessage()
				+ "); look for the apply id in 'jaywood history' when the platform responds again", cause);
	}

}
