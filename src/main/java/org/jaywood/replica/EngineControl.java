package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

/**
 * Control of the engine on the VM of an agent.
 */
public interface EngineControl {

	/**
	 * Requests the state of the engine.
	 */
	EngineReport report() throws EngineUnavailableException;

	/**
	 * Writes a chunk to the staging area of the engine, replacing the chunk of that
	 * index.
	 */
	void writeStaged(String model, int index, byte[] chunk) throws EngineUnavailableException;

	/**
	 * Reads a chunk from the staging area of the engine.
	 * @return the bytes, or null if there is none
	 */
	byte @Nullable [] readStaged(String model, int index) throws EngineUnavailableException;

	/**
	 * Orders the engine to load staged weights. Layers of a version that it holds in part
	 * load beside its calls, else it loads after its running calls.
	 * @param sequence number of orders that the engine must have accepted before this one
	 * @param timeoutMillis time for the response
	 * @return whether it accepted the order or serves the version already
	 * @throws EngineUnavailableException if there was no response in time; the engine may
	 * have accepted the order, or accept it later
	 */
	boolean orderLoad(LoadOrder order, long sequence, long timeoutMillis) throws EngineUnavailableException;

}
