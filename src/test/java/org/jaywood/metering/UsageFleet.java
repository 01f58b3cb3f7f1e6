package org.jaywood.metering;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.jaywood.event.EventLog;
import org.jaywood.leader.CloudResponse;
import org.jaywood.leader.LeaderFleet;
import org.jaywood.leader.LeaderTerm;

/**
 * Gateways that count calls and report them to an elected leader, and a cloud API that
 * loses, refuses and repeats.
 */
final class UsageFleet {

	static final long WINDOW_MILLIS = 5_000;

	static final UsageWindows WINDOWS = new UsageWindows(WINDOW_MILLIS, 10_000);

	/** True time of the fleet's clock at 0. */
	private static final long START_MILLIS = 1_700_000_000_000L;

	private static final long REPORT_INTERVAL_MILLIS = 500;

	private final Random random;

	private final LeaderFleet fleet;

	private final Map<String, UsageCounter> counters = new HashMap<>();

	private final Map<String, CountCopies> copies = new HashMap<>();

	private final Map<String, UsageFallback> fallbacks = new HashMap<>();

	private final Map<String, UsageCountStore.Stored> stored = new HashMap<>();

	private final Map<Long, Map<String, Long>> accepted = new HashMap<>();

	private final Map<Long, Map<String, Long>> truth = new HashMap<>();

	private final Map<Long, String> holderByToken = new HashMap<>();

	private long highestToken;

	private final List<String> violations = new ArrayList<>();

	private double apiFaultShare;

	UsageFleet(int size, Random random) {
		this.random = random;
		this.fleet = new LeaderFleet(size, random, this::task);
	}

	private UsageTask task(LeaderFleet.Member member) {
		UsageCounter counter = new UsageCounter(WINDOWS);
		this.counters.put(member.process(), counter);
		long clockErrorMillis = this.random.nextLong(-200, 200);
		TrueTime trueTime = new TrueTime(member.clockOffsetMillis(), START_MILLIS + clockErrorMillis);
		CountCopies kept = new CountCopies();
		this.copies.put(member.process(), kept);
		CountStore store = new CountStore(member.vm());
		this.fallbacks.put(member.process(), new UsageFallback(member.process(), kept, store));
		return new UsageTask(WINDOWS, trueTime, this::report, store, member.process(), counter, member::localMillis,
				new EventLog("test"));
	}

	private CloudResponse report(LeaderTerm term, UsageReport report) {
		boolean fault = this.random.nextDouble() < this.apiFaultShare;
		int kind = this.random.nextInt(3);
		if (fault && kind == 0) {
			return new CloudResponse.Refused(429);
		}
		if (fault && kind == 1) {
			return new CloudResponse.Unknown("not arrived");
		}
		checkToken(term);
		Map<String, Long> earlier = this.accepted.putIfAbsent(report.windowId(), report.counts());
		if (earlier != null && !earlier.equals(report.counts())) {
			this.violations.add("window " + report.windowId() + ": " + earlier + ", then " + report.counts());
		}
		return fault ? new CloudResponse.Unknown("response lost") : new CloudResponse.Accepted();
	}

	private void checkToken(LeaderTerm term) {
		String holder = this.holderByToken.putIfAbsent(term.token(), term.holder());
		if (term.token() < this.highestToken || (holder != null && !holder.equals(term.holder()))) {
			this.violations.add("token " + term.token() + " of " + term.holder() + " after " + this.highestToken);
		}
		this.highestToken = Math.max(this.highestToken, term.token());
	}

	/**
	 * Runs the fleet under load.
	 * @param faultsPerSecond faults of processes and of the store in a second
	 * @param apiFaults share of the cloud calls that meet a fault
	 */
	void run(long millis, double faultsPerSecond, double apiFaults) {
		this.apiFaultShare = apiFaults;
		for (long run = 0; run < millis; run += REPORT_INTERVAL_MILLIS) {
			this.fleet.run(REPORT_INTERVAL_MILLIS, faultsPerSecond);
			this.fleet.members().stream().filter((member) -> !member.suspended()).forEach(this::countAndReport);
		}
	}

	private void countAndReport(LeaderFleet.Member member) {
		UsageCounter counter = counter(member);
		long calls = this.random.nextLong(10);
		String workspace = "w" + this.random.nextInt(3);
		for (long call = 0; call < calls; call++) {
			counter.record(workspace, trueMillis());
			this.truth.computeIfAbsent(window(), (key) -> new HashMap<>()).merge(workspace, 1L, Long::sum);
		}
		Map<Long, Map<String, Long>> counts = counter.counts();
		if (this.apiFaultShare > 0 && this.random.nextInt(4) == 0) {
			store(member, counts);
			return;
		}
		CountCopies kept = this.copies.get(member.process());
		this.fleet.members()
			.stream()
			.filter((leader) -> !leader.suspended() && leader.term().isPresent())
			.findFirst()
			.ifPresent((leader) -> {
				UsageMessage message = new UsageMessage(member.process(), counts, kept.allExcept(leader.process()));
				UsageConfirmation confirmation = ((UsageTask) leader.task()).onMessage(message,
						leader.term().orElseThrow(), leader.localMillis());
				counter.onReported(counts, confirmation.sealed());
				kept.onConfirmed(confirmation);
			});
	}

	private void store(LeaderFleet.Member member, Map<Long, Map<String, Long>> counts) {
		try {
			this.fallbacks.get(member.process()).write(counts);
		}
		catch (IOException ex) {
			// Written again later.
		}
	}

	private UsageCounter counter(LeaderFleet.Member member) {
		return this.counters.computeIfAbsent(member.process(), (key) -> new UsageCounter(WINDOWS));
	}

	private long trueMillis() {
		return START_MILLIS + this.fleet.nowMillis();
	}

	/**
	 * Returns the present window.
	 */
	long window() {
		return WINDOWS.windowAt(trueMillis());
	}

	LeaderFleet.Member leader() {
		return this.fleet.members().stream().filter((member) -> member.term().isPresent()).findFirst().orElseThrow();
	}

	LeaderFleet fleet() {
		return this.fleet;
	}

	/**
	 * Returns the reports that differ from an earlier one of their window, and tokens
	 * that fall or have two holders.
	 */
	List<String> violations() {
		return this.violations;
	}

	/**
	 * Returns the accepted reports by window.
	 */
	Map<Long, Map<String, Long>> accepted() {
		return this.accepted;
	}

	/**
	 * Returns the calls by window and workspace.
	 */
	Map<Long, Map<String, Long>> truth() {
		return this.truth;
	}

	/**
	 * Object of a VM in a store that does not respond now and then.
	 */
	private final class CountStore implements UsageCountStore {

		private final String vm;

		private CountStore(String vm) {
			this.vm = vm;
		}

		private void failAtRandom() throws IOException {
			if (UsageFleet.this.random.nextDouble() < UsageFleet.this.apiFaultShare) {
				throw new IOException("status 503");
			}
		}

		@Override
		public Stored readOwn() throws IOException {
			failAtRandom();
			return UsageFleet.this.stored.getOrDefault(this.vm, new Stored(List.of(), NO_REVISION));
		}

		@Override
		public long write(List<ProcessCounts> counts, long revision) throws IOException {
			if (readOwn().revision() != revision) {
				throw new IOException("status 409");
			}
			UsageFleet.this.stored.put(this.vm, new Stored(counts, revision + 1));
			return revision + 1;
		}

		@Override
		public List<ProcessCounts> readAll() throws IOException {
			failAtRandom();
			return UsageFleet.this.stored.values().stream().flatMap((object) -> object.counts().stream()).toList();
		}

	}

}
