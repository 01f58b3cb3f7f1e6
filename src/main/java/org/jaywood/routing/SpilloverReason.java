package org.jaywood.routing;

/**
 * Whether and why a call leaves the data centre of its gateway.
 */
public enum SpilloverReason {

	/** It stays in the data centre. */
	LOCAL,

	/** No healthy engine of the own data centre may run it. */
	NO_ENGINE,

	/** The own engines take no further calls. */
	FULL,

	/** It would wait for a slot here for longer than the way takes. */
	WAIT,

	/**
	 * Data centres are not told apart: a plain call, or one that was sent before and
	 * needs a place at once.
	 */
	UNRESTRICTED

}
