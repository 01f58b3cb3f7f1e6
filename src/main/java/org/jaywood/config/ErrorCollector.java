package org.jaywood.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.yaml.snakeyaml.error.Mark;

/**
 * Collector of the errors in one deployment file, so that all are reported at once.
 */
final class ErrorCollector {

	private final List<DeploymentError> errors = new ArrayList<>();

	void add(Mark mark, String path, String message) {
		this.errors.add(new DeploymentError(mark.getLine() + 1, path, message));
	}

	/**
	 * Throws an exception if there are errors.
	 * @throws InvalidDeploymentException with all errors, sorted by line
	 */
	void throwIfAny() {
		if (!this.errors.isEmpty()) {
			throw new InvalidDeploymentException(
					this.errors.stream().sorted(Comparator.comparingInt(DeploymentError::line)).toList());
		}
	}

}
