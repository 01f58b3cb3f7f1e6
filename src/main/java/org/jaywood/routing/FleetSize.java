package org.jaywood.routing;

/**
 * Number of gateways that share the upstreams, as known to one of them.
 *
 * @param gateways number last known, to extrapolate the load of an engine
 * @param divisor number by which the limit of a cold engine is divided whose agent does
 * not report its own; it may be too large, and seldom is too small
 */
record FleetSize(int gateways, int divisor) {
}
