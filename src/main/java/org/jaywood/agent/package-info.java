/**
 * The process beside each upstream, which alone decides what that upstream receives.
 */
@NullMarked
package org.jaywood.agent;

import org.jspecify.annotations.NullMarked;
