package org.jaywood.config;

/**
 * Kind of the upstreams of a service.
 */
public enum ServiceKind {

	/** Model engines that serve weights. */
	MODEL,

	/** Plain HTTP services. */
	PLAIN

}
