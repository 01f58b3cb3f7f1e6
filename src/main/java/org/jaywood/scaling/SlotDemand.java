package org.jaywood.scaling;

/**
 * Demand for the engines of one service by the callers of one data centre, in slots.
 *
 * @param held slots that calls hold
 * @param unserved slots that calls would hold which wait or are refused
 */
public record SlotDemand(double held, double unserved) {

	/** No demand. */
	public static final SlotDemand NONE = new SlotDemand(0, 0);

	SlotDemand plus(SlotDemand other) {
		return new SlotDemand(this.held + other.held, this.unserved + other.unserved);
	}

	double total() {
		return this.held + this.unserved;
	}

}
