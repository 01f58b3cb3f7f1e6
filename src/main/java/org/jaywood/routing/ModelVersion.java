package org.jaywood.routing;

/**
 * Version of a model that engines shall serve.
 *
 * @param model name of the model
 * @param version number of the version; higher numbers are newer
 */
public record ModelVersion(String model, long version) {

	// This text is part of the content hash that processes of different releases compare,
	// and of log fields.
	@Override
	public String toString() {
		return "NamedWeights[model=" + this.model + ", version=" + this.version + "]";
	}

}
