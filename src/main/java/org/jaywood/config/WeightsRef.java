package org.jaywood.config;

/**
 * Reference to the weights of a model or an adapter, identified by the digest of their
 * manifest.
 *
 * @param name name of the model or adapter
 * @param version version label, for people only
 * @param manifest SHA-256 of the manifest, hexadecimal
 */
public record WeightsRef(String name, String version, String manifest) {
}
