package org.jaywood.routing;

/**
 * Version of a model that engines are to serve.
 *
 * @param model name of the model
 * @param version number of the version; higher numbers are newer
 */
public record NamedWeights(String model, long version) {
}
