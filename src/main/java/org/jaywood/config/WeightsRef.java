package org.jaywood.config;

/**
 * Weights of a model or an adapter, named by the digest of their manifest.
 *
 * @param name name of the model or adapter
 * @param version version, for people
 * @param manifest SHA-256 of the manifest, hexadecimal
 */
public record WeightsRef(String name, String version, String manifest) {
}
