package org.jaywood.routing;

import java.util.Collection;
import java.util.Set;

/**
 * Decides in which data centres a call may be placed.
 */
interface DataCentreChoice {

	/** Restricts no call. */
	DataCentreChoice ANY = (service, here, others, nowMillis) -> Decision.ANYWHERE;

	/**
	 * Decides for a call that is placed now.
	 * @param service its service
	 * @param here engines of the own data centre that may run it
	 * @param others those of each other one
	 */
	Decision decide(String service, Capacity here, Collection<Capacity> others, long nowMillis);

	/**
	 * Returns a view that decides in the same way and changes no state.
	 */
	default DataCentreChoice readOnly() {
		return this;
	}

	/**
	 * Where a call may be placed.
	 *
	 * @param any whether it may be placed in all data centres
	 * @param dataCentres those in which it may, otherwise
	 * @param reason why it would leave the own data centre
	 */
	record Decision(boolean any, Set<String> dataCentres, SpilloverReason reason) {

		static final Decision ANYWHERE = new Decision(true, Set.of(), SpilloverReason.UNRESTRICTED);

		boolean allows(String dataCentre) {
			return this.any || this.dataCentres.contains(dataCentre);
		}

	}

	/**
	 * Engines of one data centre that may run a call.
	 *
	 * @param dataCentre the data centre
	 * @param slots sum of their slots, 0 if there are none
	 * @param calls calls that they hold
	 * @param ownCalls calls of this gateway among them
	 * @param freeSlot whether one of them has a free slot for this gateway
	 * @param lowestLoad lowest calls for each slot of one that would take the call,
	 * infinite if none would
	 * @param waitMillis expected wait for a slot there, -1 if unknown
	 * @param pathMillis measured time of the way there and back, -1 if unknown
	 * @param distancePenalty distance expressed as an equivalent load
	 * @param delayMillis delay of reports from there, in excess of the usual one
	 */
	record Capacity(String dataCentre, int slots, double calls, int ownCalls, boolean freeSlot, double lowestLoad,
			double waitMillis, long pathMillis, double distancePenalty, long delayMillis) {

		boolean open() {
			return this.lowestLoad < Double.POSITIVE_INFINITY;
		}

		double freeShare() {
			return (this.slots > 0) ? Math.max(0, this.slots - this.calls) / this.slots : 0;
		}

	}

}
