package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

/**
 * Order to an engine to hold the first layers of a version, or all of them. The engine
 * takes the layers that it does not hold yet from its staged chunks, as they are when it
 * accepts the order.
 *
 * @param version the version
 * @param heldLayers layers of the version that the engine holds already
 * @param toLayer layer after the last one to hold
 * @param modelLayers number of layers of the model
 */
public record LoadOrder(ModelVersion version, int heldLayers, int toLayer, int modelLayers) {

	/**
	 * Returns the order for the next layers of a version.
	 * @param held weights that the engine holds, or null
	 * @param knownLayers number of layers of the model, 0 if it is not known
	 * @param maxLayers number of layers that the engine may take with one order
	 */
	static LoadOrder next(ModelVersion version, @Nullable LoadedWeights held, int knownLayers, int maxLayers) {
		int modelLayers = Math.max(1, knownLayers);
		int heldLayers = (held != null) ? Math.min(heldLayers(version, held), modelLayers - 1) : 0;
		return new LoadOrder(version, heldLayers, heldLayers + Math.min(modelLayers - heldLayers, maxLayers),
				modelLayers);
	}

	private static int heldLayers(ModelVersion version, LoadedWeights held) {
		boolean sameVersion = held.model().equals(version.model()) && held.version() == version.version();
		return (sameVersion && held.fromLayer() == 0) ? held.toLayer() : 0;
	}

	/**
	 * Whether the engine takes the whole model with this order.
	 */
	public boolean takesWholeModel() {
		return this.heldLayers == 0 && completesModel();
	}

	/**
	 * Whether the engine holds the whole model after this order.
	 */
	boolean completesModel() {
		return this.toLayer == this.modelLayers;
	}

	/**
	 * Returns the number of layers that the engine takes.
	 */
	int layers() {
		return this.toLayer - this.heldLayers;
	}

	/**
	 * Returns the index of the first chunk that the engine takes.
	 * @param chunks number of chunks of the model
	 */
	int firstChunk(int chunks) {
		return this.heldLayers * chunks / this.modelLayers;
	}

	/**
	 * Returns the index after the last chunk that the engine takes.
	 * @param chunks number of chunks of the model
	 */
	int endChunk(int chunks) {
		return Math.ceilDiv(this.toLayer * chunks, this.modelLayers);
	}

}
