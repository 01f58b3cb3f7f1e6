package org.jaywood.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A deployment file that must not be applied. Carries all its errors.
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
