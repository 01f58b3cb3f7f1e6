package org.jaywood.config;

/**
 * A deployment as it was applied.
 *
 * @param generation number that only grows
 * @param applyId random id of the apply, by which its author recognises it
 * @param author who applied it
 * @param appliedAtMillis time of the apply, milliseconds since the epoch
 * @param digest digest of the deployment
 * @param deployment the deployment
 */
public record AppliedConfiguration(long generation, String applyId, String author, long appliedAtMillis, String digest,
		Deployment deployment) {

	/** What a process holds before it has learned any configuration. */
	public static final AppliedConfiguration NONE = new AppliedConfiguration(0, "", "", 0, Deployment.EMPTY.digest(),
			Deployment.EMPTY);

}
