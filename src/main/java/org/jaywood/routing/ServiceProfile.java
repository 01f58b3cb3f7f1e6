package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Configuration of a service.
 */
public sealed interface ServiceProfile {

	/**
	 * Name of the service.
	 */
	String name();

	/**
	 * Service whose upstreams run plain calls.
	 *
	 * @param name name of the service
	 */
	record Plain(String name) implements ServiceProfile {
	}

	/**
	 * Service whose upstreams are model engines.
	 *
	 * @param name name of the service
	 * @param coldPerSecond calls a second that a cold engine tolerates, 0 if it is not
	 * limited
	 * @param model model that its engines serve
	 * @param layers layers of the model
	 * @param loadMillis time in which an engine loads staged weights
	 * @param scaling bounds for the number of its engines, or null if that is fixed
	 */
	record Engines(String name, double coldPerSecond, String model, int layers, long loadMillis,
			@Nullable Scaling scaling) implements ServiceProfile {

		/**
		 * Creates a service with a fixed number of engines.
		 */
		public Engines(String name, double coldPerSecond, String model, int layers, long loadMillis) {
			this(name, coldPerSecond, model, layers, loadMillis, null);
		}

		/**
		 * Returns the components without the bounds, on which agents do not act:
		 * processes of different releases compare a hash of this text.
		 */
		@Override
		public String toString() {
			return "Engines[name=" + this.name + ", coldPerSecond=" + this.coldPerSecond + ", model=" + this.model
					+ ", layers=" + this.layers + ", loadMillis=" + this.loadMillis + "]";
		}

	}

	/**
	 * Bounds for the number of engines of a service.
	 *
	 * @param min fewest engines in each data centre
	 * @param max most engines in each data centre
	 * @param bootMillis time from an order until an engine serves
	 */
	record Scaling(int min, int max, long bootMillis) {
	}

	/**
	 * Origin of weights.
	 *
	 * @param name name of the service
	 * @param address its address
	 * @param region its region
	 */
	record Origin(String name, Address address, String region) implements ServiceProfile {
	}

}
