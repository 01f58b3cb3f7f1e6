package org.jaywood.routing;

/**
 * Weights that an engine serves.
 *
 * @param model name of the model
 * @param version their version
 * @param fromLayer first layer held
 * @param toLayer layer after the last one held
 */
public record LoadedWeights(String model, long version, int fromLayer, int toLayer) {

	/**
	 * Whether all layers of the model are held.
	 */
	public boolean complete(int layers) {
		return this.fromLayer == 0 && this.toLayer >= layers;
	}

}
