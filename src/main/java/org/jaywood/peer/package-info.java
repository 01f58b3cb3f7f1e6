/**
 * Communication between processes: identity, membership and propagation of the
 * configuration.
 */
@NullMarked
package org.jaywood.peer;

import org.jspecify.annotations.NullMarked;
