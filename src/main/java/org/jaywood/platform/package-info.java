/**
 * Adapter to the operators' platform: its names, formats and calls. It translates and
 * decides nothing.
 */
@NullMarked
package org.jaywood.platform;

import org.jspecify.annotations.NullMarked;
