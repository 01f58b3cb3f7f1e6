/**
 * Number of engines of a service in each data centre: demand of all gateways, decision of
 * the leader, and orders to the platform.
 */
@NullMarked
package org.jaywood.scaling;

import org.jspecify.annotations.NullMarked;
