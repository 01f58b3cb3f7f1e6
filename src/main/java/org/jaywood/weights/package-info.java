/**
 * Content-addressed weights and their distribution among VMs.
 */
@NullMarked
package org.jaywood.weights;

import org.jspecify.annotations.NullMarked;
