/**
 * State of routes and upstreams as known to a gateway, and the decisions that follow from
 * it: routing, placement, queueing, refusal, retries. No class here uses the network.
 */
@NullMarked
package org.jaywood.routing;

import org.jspecify.annotations.NullMarked;
