package org.jaywood.routing;

/**
 * Bounds that the dispatcher keeps.
 *
 * @param gateway name of this gateway
 * @param region region of this gateway
 * @param dataCentre data centre of this gateway
 * @param coldOverage factor by which calls to a cold engine may exceed its limit
 * @param coldSlack calls by which they may exceed it besides
 * @param lapseGraceMillis time for which an entry may be missing after the store was away
 * @param versionGraceMillis time after the naming of a version from which no older one
 * may run
 */
public record DispatchSettings(String gateway, String region, String dataCentre, double coldOverage, double coldSlack,
		long lapseGraceMillis, long versionGraceMillis) {
}
