package org.jaywood.config;

/**
 * A data centre of the installation.
 *
 * @param region name of its region
 * @param inService whether it may receive new calls
 */
public record DataCentre(String region, boolean inService) {
}
