/**
 * The process on entry VMs that reaches upstreams directly. It owns calls in progress.
 */
@NullMarked
package org.jaywood.gateway;

import org.jspecify.annotations.NullMarked;
