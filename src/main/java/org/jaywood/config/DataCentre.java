package org.jaywood.config;

/**
 * A data centre of the installation.
 *
 * @param region region that it lies in
 * @param inService whether it may receive new work
 */
public record DataCentre(String region, boolean inService) {
}
