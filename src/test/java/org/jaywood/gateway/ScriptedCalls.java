package org.jaywood.gateway;

import java.util.concurrent.CountDownLatch;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

import org.jaywood.platform.PlatformCalls;

/**
 * Protocol that reads a call as its path says: {@code /slow} takes {@value #SLOW_MILLIS}
 * ms, {@code /held} blocks until it is released, {@code /error} throws.
 */
final class ScriptedCalls implements CallProtocol {

	static final long SLOW_MILLIS = 700;

	private final PlatformCalls protocol = new PlatformCalls();

	private final CountDownLatch blockedReached = new CountDownLatch(1);

	private final CountDownLatch blockedRelease = new CountDownLatch(1);

	/**
	 * Returns the latch that is counted down once a blocked call is being read.
	 */
	CountDownLatch blockedReached() {
		return this.blockedReached;
	}

	/**
	 * Returns the latch that releases blocked calls when it is counted down.
	 */
	CountDownLatch blockedRelease() {
		return this.blockedRelease;
	}

	@Override
	public CallHead read(ClassicHttpRequest request) {
		try {
			switch (request.getRequestUri()) {
				case "/slow" -> Thread.sleep(SLOW_MILLIS);
				case "/held" -> {
					this.blockedReached.countDown();
					this.blockedRelease.await();
				}
				case "/error" -> throw new IllegalStateException("scripted failure");
				default -> {
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return this.protocol.read(request);
	}

	@Override
	public boolean forwards(String name, boolean keysRequired) {
		return this.protocol.forwards(name, keysRequired);
	}

	@Override
	public boolean returns(String name) {
		return this.protocol.returns(name);
	}

	@Override
	public void write(ClassicHttpRequest request, AttemptHeaders headers) {
		this.protocol.write(request, headers);
	}

	@Override
	public ResponseHead read(ClassicHttpResponse response) {
		return this.protocol.read(response);
	}

	@Override
	public void writeRetryAfter(ClassicHttpResponse response, long millis) {
		this.protocol.writeRetryAfter(response, millis);
	}

}
