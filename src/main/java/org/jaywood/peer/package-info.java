/**
 * What processes tell each other: identity, membership and the spread of the
 * configuration.
 */
@NullMarked
package org.jaywood.peer;

import org.jspecify.annotations.NullMarked;
