/**
 * Ports to the platform services (object API, VM list, weight store) and their HTTP
 * adapters.
 */
@NullMarked
package org.jaywood.store;

import org.jspecify.annotations.NullMarked;
