/**
 * Lists and watches of named objects in a store, with the time up to which the result is
 * known to be current.
 */
@NullMarked
package org.jaywood.feed;

import org.jspecify.annotations.NullMarked;
