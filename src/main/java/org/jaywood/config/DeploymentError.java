package org.jaywood.config;

/**
 * An error in a deployment file with its position.
 *
 * @param line line in the file, from 1
 * @param path path of the field, such as {@code services.pool.limits.surge}; empty for
 * the whole file
 * @param message what is wrong and what is allowed
 */
public record DeploymentError(int line, String path, String message) {

	@Override
	public String toString() {
		return "line " + this.line + (this.path.isEmpty() ? "" : ", " + this.path) + ": " + this.message;
	}

}
