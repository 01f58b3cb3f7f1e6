/**
 * Numbered log events and the structured log that carries them.
 */
@NullMarked
package org.jaywood.event;

import org.jspecify.annotations.NullMarked;
