package org.jaywood.routing;

/**
 * Settings of the dispatcher.
 *
 * @param gateway name of this gateway
 * @param region region of this gateway
 * @param dataCentre data centre of this gateway
 * @param coldOverage factor by which calls to a cold engine may exceed its limit
 * @param coldSlack calls by which they may exceed it in addition
 * @param lapseGraceMillis time after a store outage for which an upstream is kept
 * although its entry is missing
 * @param versionGraceMillis grace period of a target version, after which older ones may
 * not start a call
 */
public record DispatchSettings(String gateway, String region, String dataCentre, double coldOverage, double coldSlack,
		long lapseGraceMillis, long versionGraceMillis) {
}
