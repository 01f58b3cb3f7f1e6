/**
 * Leader election by a lease in the store, for tasks that one process runs at a time.
 */
@NullMarked
package org.jaywood.leader;

import org.jspecify.annotations.NullMarked;
