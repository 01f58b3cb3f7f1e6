/**
 * Experiments with real processes, the demo and the replay of recorded traces.
 */
@NullMarked
package org.jaywood.bench;

import org.jspecify.annotations.NullMarked;
