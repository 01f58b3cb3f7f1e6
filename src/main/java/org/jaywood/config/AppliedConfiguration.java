package org.jaywood.config;

/**
 * A deployment together with the data of the apply that stored it.
 *
 * @param generation number of the configuration, higher than that of all earlier ones; 0
 * if none was applied
 * @param applyId random id of the apply, by which its author can identify it
 * @param author who applied it
 * @param appliedAtMillis time of the apply, milliseconds since the epoch
 * @param digest SHA-256 of the deployment, hexadecimal
 * @param deployment the deployment
 */
public record AppliedConfiguration(long generation, String applyId, String author, long appliedAtMillis, String digest,
		Deployment deployment) {

	/** Configuration of a process that has not yet received one. */
	public static final AppliedConfiguration NONE = new AppliedConfiguration(0, "", "", 0, Deployment.EMPTY.digest(),
			Deployment.EMPTY);

}
