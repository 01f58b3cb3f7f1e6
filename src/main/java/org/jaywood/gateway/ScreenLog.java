package org.jaywood.gateway;

import java.util.Set;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.BlockedParts;
import org.jaywood.routing.PartScreen;

/**
 * Logs and counts what the screen of this gateway finds.
 */
record ScreenLog(EventLog log, GatewayMetrics metrics) implements PartScreen.Observer {

	@Override
	public void onCrash(String engine, Set<String> suspects) {
		this.metrics.counter("part.suspected").inc();
		this.log.log(Event.PARTS_SUSPECTED, "engine", engine, "parts", suspects);
	}

	@Override
	public void onBlocked(BlockedParts parts) {
		this.metrics.counter("part.blocked").inc();
		this.log.log(Event.PARTS_BLOCKED, "parts", parts.parts(), "ends", parts.ends());
	}

	@Override
	public void onSound(String part) {
		this.metrics.counter("part.sound").inc();
		this.log.log(Event.PART_SOUND, "part", part);
	}

}
