/**
 * HTTP servers and clients, header names, call outcomes and stream frames shared by all
 * processes.
 */
@NullMarked
package org.jaywood.wire;

import org.jspecify.annotations.NullMarked;
