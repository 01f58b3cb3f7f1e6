package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Times in which connections to each data centre were opened lately, as the measured time
 * of the way there and back. The shortest one counts: longer ones had to wait for a
 * processor or were queued, which the delay of reports shows. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class PathTimes {

	/** The present and the previous window count. */
	private static final long WINDOW_MILLIS = 60_000;

	/** Bound on the data centres; the way to further ones is not known. */
	private static final int MAX_DATA_CENTRES = 64;

	private final Map<String, Windows> byDataCentre = new HashMap<>();

	void onConnected(String dataCentre, long millis, long nowMillis) {
		if (this.byDataCentre.size() < MAX_DATA_CENTRES || this.byDataCentre.containsKey(dataCentre)) {
			this.byDataCentre.merge(dataCentre, new Windows(nowMillis, millis, Long.MAX_VALUE),
					(before, latest) -> before.with(millis, nowMillis));
		}
	}

	/**
	 * Returns the time in milliseconds to a data centre and back, -1 if it is not known.
	 */
	long millis(String dataCentre, long nowMillis) {
		Windows windows = this.byDataCentre.get(dataCentre);
		return (windows != null && nowMillis - windows.sinceMillis() < 2 * WINDOW_MILLIS)
				? Math.min(windows.minMillis(), windows.previousMinMillis()) : -1;
	}

	private record Windows(long sinceMillis, long minMillis, long previousMinMillis) {

		Windows with(long millis, long nowMillis) {
			return (nowMillis - this.sinceMillis < WINDOW_MILLIS)
					? new Windows(this.sinceMillis, Math.min(this.minMillis, millis), this.previousMinMillis)
					: new Windows(nowMillis, millis, this.minMillis);
		}

	}

}
