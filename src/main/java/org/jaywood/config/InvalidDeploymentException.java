package org.jaywood.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Failure to parse or validate a deployment file, with all errors found.
 */
public class InvalidDeploymentException extends ConfigurationException {

	private final transient List<DeploymentError> errors;

	public InvalidDeploymentException(List<DeploymentError> errors) {
		super(errors.stream().map(DeploymentError::toString).collect(Collectors.joining(System.lineSeparator())));
		this.errors = List.copyOf(errors);
	}

	public List<DeploymentError> errors() {
		return this.errors;
	}

}
