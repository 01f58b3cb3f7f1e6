/**
 * The agent of an engine: reconciles the engine with its target version and reports its
 * load to the gateways.
 */
@NullMarked
package org.jaywood.replica;

import org.jspecify.annotations.NullMarked;
