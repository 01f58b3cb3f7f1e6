package org.jaywood.routing;

/**
 * Part of the calls of a route that goes to a service.
 *
 * @param service name of the service
 * @param weight its share, relative to the other weights of the route
 */
public record ServiceShare(String service, int weight) {
}
