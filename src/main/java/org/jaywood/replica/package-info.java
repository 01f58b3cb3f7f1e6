/**
 * The process beside an engine that keeps it on the named weights and reports its load to
 * the gateways.
 */
@NullMarked
package org.jaywood.replica;

import org.jspecify.annotations.NullMarked;
