/**
 * Following of named objects that lie in a store: what is known of them, and how old that
 * knowledge is.
 */
@NullMarked
package org.jaywood.feed;

import org.jspecify.annotations.NullMarked;
