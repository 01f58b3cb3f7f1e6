package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

/**
 * The engine on the VM of an agent.
 */
public interface EngineControl {

	/**
	 * Asks for the state of the engine.
	 */
	EngineReport report() throws EngineUnavailableException;

	/**
	 * Lays a piece of weights beside the engine, in place of what lay there.
	 */
	void stage(String model, int index, byte[] piece) throws EngineUnavailableException;

	/**
	 * Reads a piece that lies beside the engine.
	 * @return the bytes, or null if there is none
	 */
	byte @Nullable [] staged(String model, int index) throws EngineUnavailableException;

	/**
	 * Orders the engine to load what lies beside it, after the calls that run.
	 * @param sequence number of orders that it must have accepted before this one
	 * @return whether it accepted the order or serves the version already
	 */
	boolean load(String model, long version, long sequence) throws EngineUnavailableException;

}
