package org.jaywood.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jaywood.wire.Address;

/**
 * Decides what a gateway has to tell which agent. Each agent passes what it learns to all
 * gateways that receive its reports, so that any two gateways reach each other over the
 * agents that they share, or over further gateways. What a gateway has learned itself it
 * tells at once; what it was told it passes on a little later, to the agents that have
 * not told it the same meanwhile. Safe for use by several threads.
 */
public final class EvidenceRelay {

	/** Delay of what was learned from an agent before it is passed on to others. */
	static final long RELAY_DELAY_MILLIS = 300;

	/** Records in one message. */
	private static final int MAX_RECORDS = 64;

	/** Records that are remembered for one agent. */
	private static final int MAX_KNOWN = 4_096;

	private final CrashEvidence evidence;

	private final Map<Address, Agent> agents = new HashMap<>();

	/** Boot time at which each record was first received from an agent. */
	private final Map<RecordKey, Long> receivedMillis = new HashMap<>();

	public EvidenceRelay(CrashEvidence evidence) {
		this.evidence = evidence;
	}

	/**
	 * Records that an agent sends its reports from now on. It may have been restarted, so
	 * nothing is known of what it knows.
	 */
	public synchronized void onConnected(Address agent) {
		this.agents.put(agent, new Agent());
	}

	public synchronized void onDisconnected(Address agent) {
		this.agents.remove(agent);
	}

	/**
	 * Records what an agent has told.
	 */
	public synchronized void onReceived(Address agent, EvidenceMessage message, long nowMillis) {
		Agent sender = this.agents.get(agent);
		if (sender == null) {
			return;
		}
		keys(message, nowMillis).forEach((key) -> {
			sender.known.add(key);
			this.receivedMillis.putIfAbsent(key, nowMillis);
		});
		sender.toldSequence = -1;
	}

	/**
	 * Returns what an agent is to be told now, if anything. The message counts as told;
	 * if it does not arrive, {@link #onUndelivered} has it told again.
	 */
	public synchronized Optional<EvidenceMessage> takeDue(Address agent, long nowMillis) {
		Agent receiver = this.agents.get(agent);
		long sequence = this.evidence.sequence();
		if (receiver == null || receiver.toldSequence == sequence) {
			return Optional.empty();
		}
		List<CrashEvidence.Change> untold = this.evidence.changes(0, Integer.MAX_VALUE, nowMillis)
			.list()
			.stream()
			.filter((change) -> !receiver.known.contains(key(change, nowMillis)))
			.toList();
		List<CrashEvidence.Change> due = untold.stream()
			.filter((change) -> due(key(change, nowMillis), nowMillis))
			.limit(MAX_RECORDS)
			.toList();
		due.forEach((change) -> receiver.known.add(key(change, nowMillis)));
		receiver.toldSequence = (due.size() == untold.size()) ? sequence : -1;
		limitMemory(receiver, nowMillis);
		EvidenceMessage message = new CrashEvidence.Changes(0, due).message();
		return message.empty() ? Optional.empty() : Optional.of(message);
	}

	/**
	 * Records that a message did not reach an agent.
	 */
	public synchronized void onUndelivered(Address agent, EvidenceMessage message, long nowMillis) {
		Agent receiver = this.agents.get(agent);
		if (receiver != null) {
			keys(message, nowMillis).forEach(receiver.known::remove);
			receiver.toldSequence = -1;
		}
	}

	/**
	 * Returns the agents that send their reports.
	 */
	public synchronized Set<Address> agents() {
		return Set.copyOf(this.agents.keySet());
	}

	private boolean due(RecordKey key, long nowMillis) {
		Long millis = this.receivedMillis.get(key);
		return millis == null || nowMillis - millis >= RELAY_DELAY_MILLIS;
	}

	private void limitMemory(Agent agent, long nowMillis) {
		if (agent.known.size() <= MAX_KNOWN && this.receivedMillis.size() <= MAX_KNOWN) {
			return;
		}
		Set<RecordKey> present = this.evidence.changes(0, Integer.MAX_VALUE, nowMillis)
			.list()
			.stream()
			.map((change) -> key(change, nowMillis))
			.collect(Collectors.toSet());
		agent.known.retainAll(present);
		this.receivedMillis.keySet().retainAll(present);
	}

	private static Stream<RecordKey> keys(EvidenceMessage message, long nowMillis) {
		return Stream.concat(message.crashes().stream().map(EvidenceRelay::key),
				message.sound().stream().map((record) -> key(record, nowMillis)));
	}

	private static RecordKey key(CrashEvidence.Change change, long nowMillis) {
		CrashRecord crash = change.crash();
		SoundRecord sound = change.sound();
		if (crash != null) {
			return key(crash);
		}
		if (sound == null) {
			throw new IllegalStateException("a change without a record");
		}
		return key(sound, nowMillis);
	}

	private static RecordKey key(CrashRecord crash) {
		return new RecordKey(crash.engine(), crash.parts(), crash.begun() ? 1 : 0);
	}

	/**
	 * Returns the key of a sound part, which changes with a proof that is so much later
	 * that others have to know it.
	 */
	private static RecordKey key(SoundRecord sound, long nowMillis) {
		long period = Math.floorDiv(nowMillis - sound.ageMillis(), CrashEvidence.PROOF_LIFETIME_MILLIS / 2);
		return new RecordKey("", Set.of(sound.part()), period);
	}

	/**
	 * What one agent knows.
	 */
	private static final class Agent {

		private final Set<RecordKey> known = new HashSet<>();

		/** Change up to which it has been told all, or -1. */
		private long toldSequence = -1;

	}

	/**
	 * Identifies a record, whatever its age.
	 *
	 * @param engine incarnation of the engine, or empty for a sound part
	 * @param parts the parts
	 * @param detail what else distinguishes it
	 */
	private record RecordKey(String engine, Set<String> parts, long detail) {
	}

}
