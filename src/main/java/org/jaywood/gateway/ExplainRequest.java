package org.jaywood.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Request of an operator to explain how a call arriving now would be handled. The key is
 * neither logged nor returned. No number is negative.
 *
 * @param route name of the route, or host and path of the call
 * @param workspace workspace of the caller, or null; excludes the key
 * @param key API key of the caller, or null; excludes the workspace
 * @param priority priority of the call, or null for that of its workspace or route
 * @param promptTokens tokens of the prompt, 0 if unknown
 * @param answerTokens most tokens that the answer may have, 0 if unknown
 * @param remainingMillis time that the caller has left, or null for that of the route
 * @param parts ids of the parts of the prompt that other prompts may share
 */
public record ExplainRequest(String route, @Nullable String workspace, @Nullable String key, @Nullable Integer priority,
		int promptTokens, int answerTokens, @Nullable Long remainingMillis, List<String> parts) {

	@Override
	public String toString() {
		return "ExplainRequest[route=" + this.route + "]";
	}

}
