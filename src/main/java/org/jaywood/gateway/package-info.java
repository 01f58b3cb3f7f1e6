/**
 * The gateway: the process on entry VMs that accepts calls and sends them directly to
 * upstreams.
 */
@NullMarked
package org.jaywood.gateway;

import org.jspecify.annotations.NullMarked;
