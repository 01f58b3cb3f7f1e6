/**
 * Small stand-ins for the platform, the engines and the network, used by tests, demo and
 * bench.
 */
@NullMarked
package org.jaywood.standin;

import org.jspecify.annotations.NullMarked;
