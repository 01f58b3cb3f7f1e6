package org.jaywood.wire;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Memory that a process holds for others. The sum of all reservations never exceeds the
 * limit, and large reservations never take the share of small ones. If a reservation does
 * not fit, others are evicted, provided that these make enough room; otherwise it is
 * refused. Only reservations whose other party sends bytes that are no message or lets a
 * read or write wait are evicted: the former first, answered ones last, and among equals
 * the largest first. A new request never evicts an answer, since its caller can be
 * refused while the call of the answer has run.
 */
public final class MemoryBudget {

	/** A party that lets a read or write wait for less time counts as normal. */
	private static final long MIN_WAIT_MILLIS = 1_000;

	/** Share of the limit from which on connections at rest make room. */
	private static final double CROWDED_SHARE = 0.875;

	/** Longest wait after which a waiting reservation is tried again. */
	private static final long MAX_POLL_MILLIS = 50;

	private final MemoryLimits limits;

	private final Set<MemoryReservation> reservations = new HashSet<>();

	private final Map<MemoryUse, Account> accounts = new EnumMap<>(MemoryUse.class);

	/** One place for each reservation that waits, in order of arrival. */
	private final Queue<Object> queue = new ArrayDeque<>();

	private long reservedBytes;

	private long largeBytes;

	public MemoryBudget(MemoryLimits limits) {
		this.limits = limits;
	}

	/**
	 * Opens an empty reservation.
	 * @param use what it is for
	 * @param onEvicted closes the connection of the other party; runs once at most, on
	 * the thread whose reservation needs the memory, and must not block
	 */
	public synchronized MemoryReservation open(MemoryUse use, Runnable onEvicted) {
		MemoryReservation reservation = new MemoryReservation(this, use, onEvicted);
		this.reservations.add(reservation);
		return reservation;
	}

	/**
	 * Opens an empty reservation that is not evicted, since it holds no read or write
	 * that lets others wait.
	 * @param use what it is for
	 */
	public MemoryReservation open(MemoryUse use) {
		return open(use, () -> {
		});
	}

	boolean tryReserve(MemoryReservation requester, long bytes, long nowMillis) {
		boolean reserved = reserve(requester, bytes, nowMillis);
		if (!reserved) {
			countRefusal(requester);
		}
		return reserved;
	}

	boolean awaitReserve(MemoryReservation requester, long bytes, long maxWaitMillis, LongSupplier clock)
			throws InterruptedException {
		if (!isLarge(requester.bytes() + bytes)) {
			return tryReserve(requester, bytes, clock.getAsLong());
		}
		long endMillis = clock.getAsLong() + (canFit(requester, bytes) ? maxWaitMillis : 0);
		Object place = joinQueue();
		try {
			boolean reserved = isFirst(place) && reserve(requester, bytes, clock.getAsLong());
			while (!reserved && clock.getAsLong() < endMillis) {
				awaitChange(Math.clamp(endMillis - clock.getAsLong(), 1, MAX_POLL_MILLIS));
				reserved = isFirst(place) && reserve(requester, bytes, clock.getAsLong());
			}
			if (!reserved) {
				countRefusal(requester);
			}
			return reserved;
		}
		finally {
			leaveQueue(place);
		}
	}

	private boolean canFit(MemoryReservation requester, long bytes) {
		return requester.bytes() + bytes <= this.limits.maxLargeBytes();
	}

	private synchronized Object joinQueue() {
		Object place = new Object();
		this.queue.add(place);
		return place;
	}

	private synchronized boolean isFirst(Object place) {
		return this.queue.peek() == place;
	}

	private synchronized void leaveQueue(Object place) {
		this.queue.remove(place);
		notifyAll();
	}

	/**
	 * Waits until memory is given back or the queue moves on. Others may also become
	 * evictable, which is found only by another try.
	 */
	private synchronized void awaitChange(long timeoutMillis) throws InterruptedException {
		wait(timeoutMillis);
	}

	private synchronized void countRefusal(MemoryReservation requester) {
		account(requester).refusals++;
	}

	private boolean reserve(MemoryReservation requester, long bytes, long nowMillis) {
		List<MemoryReservation> evicted = new ArrayList<>();
		boolean reserved = reserve(requester, bytes, nowMillis, evicted);
		evicted.forEach(MemoryReservation::notifyEvicted);
		return reserved;
	}

	private synchronized boolean reserve(MemoryReservation requester, long bytes, long nowMillis,
			List<MemoryReservation> evicted) {
		if (requester.isClosed()) {
			return false;
		}
		Shortage shortage = shortage(requester, bytes);
		if (!shortage.none()) {
			evicted.addAll(choose(requester, shortage, nowMillis));
			evicted.forEach(this::evict);
		}
		if (!shortage(requester, bytes).none()) {
			return false;
		}
		setBytes(requester, requester.bytes() + bytes);
		return true;
	}

	private Shortage shortage(MemoryReservation requester, long bytes) {
		long newBytes = requester.bytes() + bytes;
		long newLargeBytes = this.largeBytes - largeBytes(requester.bytes()) + largeBytes(newBytes);
		long missingLargeBytes = isLarge(newBytes) ? newLargeBytes - this.limits.maxLargeBytes() : 0;
		return new Shortage(Math.max(0, this.reservedBytes + bytes - this.limits.maxBytes()),
				Math.max(0, missingLargeBytes));
	}

	/**
	 * Chooses the reservations to evict.
	 * @return none if all that could be evicted would not make enough room
	 */
	private List<MemoryReservation> choose(MemoryReservation requester, Shortage shortage, long nowMillis) {
		List<Candidate> candidates = this.reservations.stream()
			.filter((holder) -> holder != requester && holder.bytes() > 0)
			.filter((holder) -> shortage.largeBytes() == 0 || isLarge(holder.bytes()))
			.map((holder) -> Candidate.of(holder, nowMillis))
			.filter((candidate) -> candidate.evictableFor(requester))
			.sorted(Comparator.comparing(Candidate::standing)
				.thenComparing(Comparator.comparingLong(Candidate::bytes).reversed())
				.thenComparing(Comparator.comparingLong(Candidate::waitedMillis).reversed()))
			.toList();
		long missingBytes = Math.max(shortage.bytes(), shortage.largeBytes());
		List<MemoryReservation> chosen = new ArrayList<>();
		for (Candidate candidate : candidates) {
			if (missingBytes > 0) {
				chosen.add(candidate.holder());
				missingBytes -= candidate.bytes();
			}
		}
		return (missingBytes <= 0) ? chosen : List.of();
	}

	/**
	 * Evicts reservations whose other party has let a read or write wait for too long.
	 */
	public void evictWaiting(long maxWaitMillis, long nowMillis) {
		List<MemoryReservation> evicted;
		synchronized (this) {
			evicted = this.reservations.stream()
				.filter((holder) -> holder.waitedMillis(nowMillis) > maxWaitMillis)
				.toList();
			evicted.forEach(this::evict);
		}
		evicted.forEach(MemoryReservation::notifyEvicted);
	}

	private void evict(MemoryReservation reservation) {
		account(reservation).evictions++;
		remove(reservation);
	}

	synchronized void release(MemoryReservation reservation, long bytes) {
		if (!reservation.isClosed()) {
			setBytes(reservation, reservation.bytes() - bytes);
		}
	}

	synchronized void remove(MemoryReservation reservation) {
		setBytes(reservation, 0);
		reservation.markClosed();
		this.reservations.remove(reservation);
	}

	private void setBytes(MemoryReservation reservation, long bytes) {
		long oldBytes = reservation.bytes();
		this.reservedBytes += bytes - oldBytes;
		this.largeBytes += largeBytes(bytes) - largeBytes(oldBytes);
		account(reservation).bytes += bytes - oldBytes;
		reservation.setBytes(bytes);
		notifyAll();
	}

	private boolean isLarge(long bytes) {
		return bytes > this.limits.maxSmallBytes();
	}

	private long largeBytes(long bytes) {
		return isLarge(bytes) ? bytes : 0;
	}

	private Account account(MemoryReservation reservation) {
		return account(reservation.use());
	}

	private Account account(MemoryUse use) {
		return this.accounts.computeIfAbsent(use, (missing) -> new Account());
	}

	/**
	 * Returns the limits.
	 */
	public MemoryLimits limits() {
		return this.limits;
	}

	/**
	 * Whether so much is reserved that connections at rest make room for others. Large
	 * reservations alone never take as much.
	 */
	public synchronized boolean crowded() {
		return this.reservedBytes >= this.limits.maxBytes() * CROWDED_SHARE;
	}

	/**
	 * Returns the bytes of all reservations.
	 */
	public synchronized long reservedBytes() {
		return this.reservedBytes;
	}

	/**
	 * Returns the bytes of all reservations of one use.
	 */
	public synchronized long reservedBytes(MemoryUse use) {
		return account(use).bytes;
	}

	/**
	 * Returns how many reservations of one use did not fit since the start.
	 */
	public synchronized long refusals(MemoryUse use) {
		return account(use).refusals;
	}

	/**
	 * Returns how many reservations of one use were evicted since the start.
	 */
	public synchronized long evictions(MemoryUse use) {
		return account(use).evictions;
	}

	/**
	 * Returns the number of open reservations.
	 */
	public synchronized int openReservations() {
		return this.reservations.size();
	}

	/**
	 * Bytes that are missing for a reservation.
	 *
	 * @param bytes beyond the limit of all reservations
	 * @param largeBytes beyond the limit of large reservations
	 */
	private record Shortage(long bytes, long largeBytes) {

		boolean none() {
			return this.bytes == 0 && this.largeBytes == 0;
		}

	}

	/**
	 * A reservation that may be evicted. Other threads change its wait and its standing
	 * at any time, and a sort fails if its keys change meanwhile.
	 *
	 * @param holder the reservation
	 * @param standing its standing when it was looked at
	 * @param bytes its bytes
	 * @param waitedMillis time for which its other party has let it wait
	 */
	private record Candidate(MemoryReservation holder, MemoryReservation.Standing standing, long bytes,
			long waitedMillis) {

		static Candidate of(MemoryReservation holder, long nowMillis) {
			return new Candidate(holder, holder.standing(), holder.bytes(), holder.waitedMillis(nowMillis));
		}

		boolean evictableFor(MemoryReservation requester) {
			boolean outranks = this.holder.use() == MemoryUse.ANSWER && requester.use() == MemoryUse.REQUEST;
			return this.standing == MemoryReservation.Standing.INVALID
					|| (this.waitedMillis >= MIN_WAIT_MILLIS && !outranks);
		}

	}

	/** What the reservations of one use hold and met. */
	private static final class Account {

		private long bytes;

		private long refusals;

		private long evictions;

	}

}
