/**
 * Stand-ins (small test doubles) of the platform, the weight store, the engines, plain
 * services and the network, for tests, demo and bench.
 */
@NullMarked
package org.jaywood.standin;

import org.jspecify.annotations.NullMarked;
