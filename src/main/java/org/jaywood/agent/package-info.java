/**
 * The process next to each upstream, which alone decides which calls that upstream
 * receives.
 */
@NullMarked
package org.jaywood.agent;

import org.jspecify.annotations.NullMarked;
