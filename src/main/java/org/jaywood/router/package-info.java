/**
 * Process on entry VMs that owns calls in progress and selects upstreams for them.
 */
@NullMarked
package org.jaywood.router;

import org.jspecify.annotations.NullMarked;
