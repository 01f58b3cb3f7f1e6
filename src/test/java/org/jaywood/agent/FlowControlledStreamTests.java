package org.jaywood.agent;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.wire.CreditGrant;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against bytes sent beyond the credit of a router, which both sides would have to
 * buffer, and against a writer that blocks forever.
 */
class FlowControlledStreamTests {

	@Test
	void sendsAtMostGrantedBytes() throws Exception {
		ByteArrayOutputStream sink = new ByteArrayOutputStream();
		FlowControlledStream stream = new FlowControlledStream(sink);
		byte[] line = new byte[1_000];
		while (stream.awaitCredit(line.length, 1)) {
			stream.send(line);
		}
		assertThat(sink.size()).isEqualTo(8_000);
		stream.grant(CreditGrant.INITIAL_CREDIT_BYTES + 1_000);
		stream.grant(10);
		assertThat(stream.awaitCredit(line.length, 1)).isTrue();
	}

	@Test
	void cancelEndsWaitForCredit() throws Exception {
		FlowControlledStream stream = new FlowControlledStream(new ByteArrayOutputStream());
		stream.send(new byte[CreditGrant.INITIAL_CREDIT_BYTES]);
		Thread.ofVirtual().start(stream::cancel);
		assertThat(Failures.thrownBy(IOException.class, () -> stream.awaitCredit(1, 10_000))).isNotNull();
	}

	@Test
	void blockedWriteIsInterrupted() throws Exception {
		CountDownLatch blocked = new CountDownLatch(1);
		FlowControlledStream stream = new FlowControlledStream(new OutputStream() {

			@Override
			public void write(int value) throws IOException {
				try {
					blocked.countDown();
					TimeUnit.SECONDS.sleep(30);
				}
				catch (InterruptedException ex) {
					throw new IOException("interrupted", ex);
				}
			}

		});
		Thread writer = Thread.ofVirtual().start(() -> Failures.thrownBy(IOException.class, () -> {
			stream.send(new byte[1]);
			return null;
		}));
		blocked.await();
		long nowNanos = System.nanoTime();
		assertThat(stream.interruptBlockedWrite(nowNanos, 60_000)).isFalse();
		assertThat(stream.interruptBlockedWrite(nowNanos + TimeUnit.SECONDS.toNanos(61), 60_000)).isTrue();
		assertThat(writer.join(Duration.ofSeconds(5))).isTrue();
	}

}
