package org.jaywood.routing;

/**
 * Size of a call as its caller states it.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens that the answer may have
 */
public record CallCost(int promptTokens, int maxOutputTokens) {

	/** The caller states no size. */
	public static final CallCost UNKNOWN = new CallCost(0, 0);

	public boolean known() {
		return this.promptTokens > 0;
	}

}
