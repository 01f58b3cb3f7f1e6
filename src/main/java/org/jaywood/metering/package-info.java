/**
 * Usage of workspaces: counts of calls by time window, their merge at the leader, and the
 * reports to the platform.
 */
@NullMarked
package org.jaywood.metering;

import org.jspecify.annotations.NullMarked;
