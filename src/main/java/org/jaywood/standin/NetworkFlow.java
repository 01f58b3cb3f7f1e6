package org.jaywood.standin;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jaywood.standin.NetworkFault.Kind;
import org.jaywood.standin.NetworkFaults.Active;

/**
 * One direction of a connection. A reader waits for the links and a writer for the delay
 * of each block; the few blocks between them let a slow link or receiver hold up the
 * sender.
 */
final class NetworkFlow {

	private static final int BLOCK_BYTES = 8 * 1024;

	/** Carries 64 KiB in flight, enough for 20 MB/s at a delay of 3 ms. */
	private static final int BLOCKS_IN_FLIGHT = 8;

	private static final long FREEZE_POLL_MILLIS = 2;

	private static final long PARK_MARGIN_NANOS = TimeUnit.MICROSECONDS.toNanos(20);

	private final NetworkConnection connection;

	private final NetworkTopology topology;

	private final NetworkFaults faults;

	private final boolean reply;

	private final NetworkVm from;

	private final NetworkVm to;

	private final BlockingQueue<Block> inFlight = new ArrayBlockingQueue<>(BLOCKS_IN_FLIGHT);

	private final Map<String, Long> firstBytes = new HashMap<>();

	private long position;

	NetworkFlow(NetworkConnection connection, NetworkTopology topology, NetworkFaults faults, boolean reply) {
		this.connection = connection;
		this.topology = topology;
		this.faults = faults;
		this.reply = reply;
		this.from = reply ? connection.acceptor() : connection.opener();
		this.to = reply ? connection.opener() : connection.acceptor();
	}

	/**
	 * Reads blocks until the sender ends.
	 */
	void read() throws IOException, InterruptedException {
		InputStream in = this.connection.input(this.reply);
		byte[] buffer = new byte[BLOCK_BYTES];
		for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
			long passedNanos = this.topology.reserve(this.from, this.to, count, System.nanoTime());
			sleepUntil(passedNanos);
			this.inFlight.put(new Block(Arrays.copyOf(buffer, count), dueNanos(passedNanos), false));
		}
		this.inFlight.put(new Block(new byte[0], dueNanos(System.nanoTime()), true));
	}

	private long dueNanos(long passedNanos) {
		return passedNanos + this.topology.delayNanos(this.from, this.to) + TimeUnit.MILLISECONDS
			.toNanos(this.faults.delayMillis(this.connection.opener(), this.connection.acceptor(), this.reply));
	}

	/**
	 * Delivers blocks until the sender's end.
	 */
	void write() throws IOException, InterruptedException {
		for (Block block = this.inFlight.take();; block = this.inFlight.take()) {
			sleepUntil(block.dueNanos());
			while (this.faults.frozen(this.connection.opener(), this.connection.acceptor(), this.reply)) {
				TimeUnit.MILLISECONDS.sleep(FREEZE_POLL_MILLIS);
			}
			if (block.last()) {
				this.connection.endOutput(this.reply);
				return;
			}
			deliver(block.bytes());
		}
	}

	private void deliver(byte[] bytes) throws IOException {
		if (!this.faults.none()) {
			loseReply();
			corrupt(bytes);
			int kept = keptBytes(bytes.length);
			if (kept >= 0) {
				this.connection.output(this.reply).write(bytes, 0, kept);
				this.connection.closeCleanly();
				return;
			}
		}
		this.connection.output(this.reply).write(bytes);
		this.position += bytes.length;
	}

	private void loseReply() throws IOException {
		if (this.reply && faults(Kind.LOSE_REPLIES).stream().anyMatch(this.faults::strike)) {
			throw new IOException("reply lost");
		}
	}

	private void corrupt(byte[] bytes) {
		for (Active fault : faults(Kind.CORRUPT)) {
			if (fault.fault().probability() > 0) {
				if (ThreadLocalRandom.current().nextDouble() < fault.fault().probability()
						&& this.faults.strike(fault)) {
					bytes[ThreadLocalRandom.current().nextInt(bytes.length)] ^= 0x01;
				}
				continue;
			}
			long index = firstByte(fault) + fault.fault().atByte() - this.position;
			if (index >= 0 && index < bytes.length && this.faults.strike(fault)) {
				bytes[(int) index] ^= 0x01;
			}
		}
	}

	private int keptBytes(int length) {
		for (Active fault : faults(Kind.TRUNCATE)) {
			long left = firstByte(fault) + fault.fault().atByte() - this.position;
			if (left < length && this.faults.strike(fault)) {
				return (int) Math.max(0, left);
			}
		}
		return -1;
	}

	private List<Active> faults(Kind kind) {
		return this.faults.of(kind, this.connection.opener(), this.connection.acceptor())
			.filter(NetworkFaults.affects(this.reply))
			.toList();
	}

	private long firstByte(Active fault) {
		return this.firstBytes.computeIfAbsent(fault.id(), (id) -> this.position);
	}

	private static void sleepUntil(long dueNanos) throws InterruptedException {
		long leftNanos = dueNanos - System.nanoTime();
		if (leftNanos > PARK_MARGIN_NANOS) {
			TimeUnit.NANOSECONDS.sleep(leftNanos);
		}
	}

	private record Block(byte[] bytes, long dueNanos, boolean last) {
	}

}
