package org.jaywood.config;

/**
 * What stands behind a service.
 */
public enum ServiceKind {

	/** Model engines that serve weights. */
	MODEL,

	/** Plain HTTP services. */
	PLAIN

}
