package org.jaywood.routing;

/**
 * Decision to send a call to an upstream. The call counts towards the load there until
 * {@link Dispatcher#recordEnd}.
 *
 * @param upstream the upstream
 * @param requirements what the call requires
 * @param spillover whether and why the call leaves the data centre
 * @param load estimated calls that it held before
 * @param capacity calls that it may hold
 * @param reportAgeMillis age of the report used for the decision, or -1 if there was none
 * @param waitedMillis time for which the call was queued
 * @param placedMillis time of the decision
 * @param activity takes the progress of the attempt
 */
public record Placement(Upstream upstream, CallRequirements requirements, SpilloverReason spillover, double load,
		double capacity, long reportAgeMillis, long waitedMillis, long placedMillis, AttemptActivity activity) {
}
