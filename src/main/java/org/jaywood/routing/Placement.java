package org.jaywood.routing;

/**
 * Decision to send a call to an upstream. It holds a place there until it is ended by
 * {@link Dispatcher#end}.
 *
 * @param upstream the upstream
 * @param load calls that it was believed to hold before
 * @param capacity calls that it may hold
 * @param reportAgeMillis age of the report that decided, or -1 if there was none
 * @param waitedMillis time for which the call waited for its place
 * @param placedMillis time of the decision
 */
public record Placement(Upstream upstream, double load, double capacity, long reportAgeMillis, long waitedMillis,
		long placedMillis) {
}
