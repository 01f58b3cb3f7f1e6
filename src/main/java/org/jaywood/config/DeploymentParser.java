package org.jaywood.config;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/**
 * Reads a deployment from its YAML file.
 */
public final class DeploymentParser {

	private static final YAMLMapper YAML = YAMLMapper.builder()
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	public Deployment parse(byte[] yaml) {
		try {
			return YAML.readValue(yaml, Deployment.class);
		}
		catch (IOException ex) {
			throw new ConfigurationException("cannot read deployment: " + ex.getMessage(), ex);
		}
	}

}
