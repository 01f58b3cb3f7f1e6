package org.jaywood.routing;

/**
 * What a response changed in what is known of the limit that its upstream names.
 */
public enum LimitChange {

	/** Nothing. */
	NONE,

	/** The upstream has begun to name a limit. */
	BEGUN,

	/** The upstream names another value. */
	CHANGED,

	/** The upstream no longer names a limit. */
	ENDED

}
