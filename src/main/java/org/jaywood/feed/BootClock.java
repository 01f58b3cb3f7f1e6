package org.jaywood.feed;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemoryLayout;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;

/**
 * Clock in milliseconds since the VM booted, including time for which it was suspended.
 * {@link System#nanoTime} stops during a suspension and the time of day may jump, so
 * neither gives the age of a report or view.
 */
public final class BootClock {

	/** Id of the clock in the Linux API. */
	private static final int CLOCK_BOOTTIME = 7;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final MethodHandle CLOCK_GETTIME = Linker.nativeLinker()
		.downcallHandle(Linker.nativeLinker().defaultLookup().find("clock_gettime").orElseThrow(),
				FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS));

	private static final MemorySegment TIMESPEC = Arena.global()
		.allocate(MemoryLayout.sequenceLayout(2, ValueLayout.JAVA_LONG));

	private BootClock() {
	}

	/**
	 * Returns the current time in milliseconds.
	 */
	public static synchronized long nowMillis() {
		try {
			int status = (int) CLOCK_GETTIME.invokeExact(CLOCK_BOOTTIME, TIMESPEC);
			if (status != 0) {
				throw new IllegalStateException("clock_gettime failed with status " + status);
			}
		}
		catch (RuntimeException | Error ex) {
			throw ex;
		}
		catch (Throwable ex) {
			throw new IllegalStateException("call of clock_gettime failed", ex);
		}
		return TIMESPEC.getAtIndex(ValueLayout.JAVA_LONG, 0) * MILLIS_PER_SECOND
				+ TIMESPEC.getAtIndex(ValueLayout.JAVA_LONG, 1) / NANOS_PER_MILLI;
	}

}
