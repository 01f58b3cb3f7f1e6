package org.jaywood.config;

/**
 * Failure to read, check or apply a configuration.
 */
public class ConfigurationException extends RuntimeException {

	public ConfigurationException(String message) {
		super(message);
	}

	public ConfigurationException(String message, Throwable cause) {
		super(message, cause);
	}

}
