package org.jaywood.agent;

import java.util.List;

/**
 * Order to an engine to load a complete set of weights.
 *
 * @param kind {@code load}
 * @param manifests digests of the manifests
 * @param source base URL from which manifests and chunks can be read
 * @param fencing fencing token of the agent that sends the order
 * @param orderId random id
 */
public record LoadOrder(String kind, List<String> manifests, String source, long fencing, String orderId) {
}
