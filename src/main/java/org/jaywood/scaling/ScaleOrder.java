package org.jaywood.scaling;

/**
 * Order to the platform.
 *
 * @param service name of the service
 * @param dataCentre data centre of the engines
 * @param engines number of engines that shall run there
 */
public record ScaleOrder(String service, String dataCentre, int engines) {
}
