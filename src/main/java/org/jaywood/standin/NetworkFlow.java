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
import org.jaywood.standin.NetworkFaults.ActiveFault;

/**
 * One direction of a connection. A reader thread waits for the rate of the links, a
 * writer thread for the delay of each block. The queue between them is bounded, so that a
 * slow link or receiver slows the sender down (back pressure).
 */
final class NetworkFlow {

	private static final int BLOCK_BYTES = 8 * 1024;

	/** Allows 64 KiB in flight, enough for 20 MB/s at a delay of 3 ms. */
	private static final int MAX_QUEUED_BLOCKS = 8;

	private static final long FREEZE_POLL_MILLIS = 2;

	private static final long MIN_SLEEP_NANOS = TimeUnit.MICROSECONDS.toNanos(20);

	private final NetworkConnection connection;

	private final NetworkTopology topology;

	private final NetworkFaults faults;

	private final boolean reply;

	private final NetworkVm sender;

	private final NetworkVm receiver;

	private final BlockingQueue<Block> queuedBlocks = new ArrayBlockingQueue<>(MAX_QUEUED_BLOCKS);

	private final Map<String, Long> startOffsets = new HashMap<>();

	private long deliveredBytes;

	NetworkFlow(NetworkConnection connection, NetworkTopology topology, NetworkFaults faults, boolean reply) {
		this.connection = connection;
		this.topology = topology;
		this.faults = faults;
		this.reply = reply;
		this.sender = reply ? connection.acceptor() : connection.opener();
		this.receiver = reply ? connection.opener() : connection.acceptor();
	}

	/**
	 * Reads blocks until the sender ends its output.
	 */
	void readBlocks() throws IOException, InterruptedException {
		InputStream in = this.connection.input(this.reply);
		byte[] buffer = new byte[BLOCK_BYTES];
		for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
			long linkPassedNanos = this.topology.reserve(this.sender, this.receiver, count, System.nanoTime());
			sleepUntil(linkPassedNanos);
			this.queuedBlocks.put(new Block(Arrays.copyOf(buffer, count), dueNanos(linkPassedNanos), false));
		}
		this.queuedBlocks.put(new Block(new byte[0], dueNanos(System.nanoTime()), true));
	}

	private long dueNanos(long linkPassedNanos) {
		return linkPassedNanos + this.topology.delayNanos(this.sender, this.receiver) + TimeUnit.MILLISECONDS
			.toNanos(this.faults.delayMillis(this.connection.opener(), this.connection.acceptor(), this.reply));
	}

	/**
	 * Delivers blocks until the last one.
	 */
	void writeBlocks() throws IOException, InterruptedException {
		for (Block block = this.queuedBlocks.take();; block = this.queuedBlocks.take()) {
			sleepUntil(block.dueNanos());
			while (this.faults.isBlocked(this.connection.opener(), this.connection.acceptor(), this.reply)) {
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
		if (!this.faults.isEmpty()) {
			resetIfReplyLost();
			corrupt(bytes);
			int truncatedLength = bytesBeforeTruncation(bytes.length);
			if (truncatedLength >= 0) {
				this.connection.output(this.reply).write(bytes, 0, truncatedLength);
				this.connection.closeWithoutReset();
				return;
			}
		}
		this.connection.output(this.reply).write(bytes);
		this.deliveredBytes += bytes.length;
	}

	private void resetIfReplyLost() throws IOException {
		if (this.reply && faults(Kind.LOSE_REPLIES).stream().anyMatch(this.faults::tryApply)) {
			throw new IOException("LOSE_REPLIES fault dropped the reply");
		}
	}

	private void corrupt(byte[] bytes) {
		for (ActiveFault fault : faults(Kind.CORRUPT)) {
			if (fault.fault().probability() > 0) {
				if (ThreadLocalRandom.current().nextDouble() < fault.fault().probability()
						&& this.faults.tryApply(fault)) {
					bytes[ThreadLocalRandom.current().nextInt(bytes.length)] ^= 0x01;
				}
				continue;
			}
			long index = startOffset(fault) + fault.fault().atByte() - this.deliveredBytes;
			if (index >= 0 && index < bytes.length && this.faults.tryApply(fault)) {
				bytes[(int) index] ^= 0x01;
			}
		}
	}

	private int bytesBeforeTruncation(int length) {
		for (ActiveFault fault : faults(Kind.TRUNCATE)) {
			long remaining = startOffset(fault) + fault.fault().atByte() - this.deliveredBytes;
			if (remaining < length && this.faults.tryApply(fault)) {
				return (int) Math.max(0, remaining);
			}
		}
		return -1;
	}

	private List<ActiveFault> faults(Kind kind) {
		return this.faults.matching(kind, this.connection.opener(), this.connection.acceptor())
			.filter(NetworkFaults.affects(this.reply))
			.toList();
	}

	private long startOffset(ActiveFault fault) {
		return this.startOffsets.computeIfAbsent(fault.id(), (id) -> this.deliveredBytes);
	}

	private static void sleepUntil(long dueNanos) throws InterruptedException {
		long remainingNanos = dueNanos - System.nanoTime();
		if (remainingNanos > MIN_SLEEP_NANOS) {
			TimeUnit.NANOSECONDS.sleep(remainingNanos);
		}
	}

	private record Block(byte[] bytes, long dueNanos, boolean last) {
	}

}
