/**
 * The process on entry VMs, which owns calls in progress and chooses upstreams for them.
 */
@NullMarked
package org.jaywood.router;

import org.jspecify.annotations.NullMarked;
