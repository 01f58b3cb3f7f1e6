package org.jaywood.routing;

/**
 * How the connection to the agent of an engine was lost.
 */
public enum AgentLoss {

	/**
	 * The other side closed, reset or refused it: the VM runs, and its agent does not.
	 */
	CLOSED,

	/** Nothing came from the other side: its VM is suspended, or cut off. */
	SILENT

}
