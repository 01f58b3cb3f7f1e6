package org.jaywood.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a message that has arrived completely but is treated as late because the
 * process was stalled until after the deadline.
 */
class DeadlineInputStreamTests {

	private Socket sender;

	private Socket accepted;

	private DeadlineInputStream in;

	@BeforeEach
	void connect() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.sender = new Socket(server.getInetAddress(), server.getLocalPort());
			this.accepted = server.accept();
		}
		this.in = new DeadlineInputStream(this.accepted);
	}

	@AfterEach
	void close() throws IOException {
		this.sender.close();
		this.accepted.close();
	}

	private void sendAndAwaitArrival(String text) throws IOException {
		int availableBytes = this.accepted.getInputStream().available();
		this.sender.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		Awaitility.await().until(() -> this.accepted.getInputStream().available() == availableBytes + text.length());
	}

	private void setPassedDeadline() {
		this.in.setReadDeadline(1, System.nanoTime() - Duration.ofSeconds(1).toNanos());
	}

	private void assertReadTimesOut() {
		Failures.thrownBy(SocketTimeoutException.class, () -> this.in.read(new byte[10], 0, 10));
	}

	@Test
	void arrivedBytesAreReadAfterDeadline() throws IOException {
		sendAndAwaitArrival("abc");
		setPassedDeadline();
		assertThat(this.in.read()).isEqualTo('a');
		assertThat(this.in.read(new byte[10], 0, 10)).isEqualTo(2);
		assertReadTimesOut();
	}

	@Test
	void bytesArrivingAfterDeadlineAreNotRead() throws IOException {
		sendAndAwaitArrival("abc");
		setPassedDeadline();
		assertThat(this.in.read(new byte[2], 0, 2)).isEqualTo(2);
		sendAndAwaitArrival("def");
		assertThat(this.in.read(new byte[10], 0, 10)).isEqualTo(1);
		assertReadTimesOut();
	}

	@Test
	void readAfterDeadlineWithoutArrivedBytesTimesOut() {
		setPassedDeadline();
		assertReadTimesOut();
	}

	@Test
	void endOfConnectionIsReadAfterDeadline() throws IOException {
		this.sender.shutdownOutput();
		Awaitility.await().pollDelay(Duration.ofMillis(50)).until(() -> true);
		setPassedDeadline();
		assertThat(this.in.read(new byte[10], 0, 10)).isEqualTo(-1);
	}

}
