package org.jaywood.routing;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against processes that judge differently by the order of messages.
 */
class CrashEvidenceMergeTests {

	private static final long NOW = 10_000_000;

	@Property(tries = 300, seed = "1")
	void tablesAgreeWhateverTheOrderAndRepetitionOfMessages(@ForAll @IntRange(min = 1, max = 40) int records,
			@ForAll long seed) {
		Random random = new Random(seed);
		List<EvidenceMessage> messages = IntStream.range(0, records).mapToObj((number) -> message(random)).toList();
		CrashEvidence first = new CrashEvidence();
		CrashEvidence second = new CrashEvidence();
		messages.forEach((message) -> first.merge(message, NOW));
		messages.reversed().forEach((message) -> second.merge(message, NOW));
		messages.forEach((message) -> second.merge(message, NOW));
		assertThat(Set.copyOf(first.blocked())).isEqualTo(Set.copyOf(second.blocked()));
	}

	private static EvidenceMessage message(Random random) {
		String part = "part" + random.nextInt(4);
		if (random.nextInt(8) == 0) {
			return new EvidenceMessage(List.of(), List.of(new SoundRecord(part, random.nextInt(1_000))));
		}
		Set<String> parts = (random.nextInt(3) == 0) ? Set.of(part, "companion") : Set.of(part);
		return new EvidenceMessage(
				List.of(new CrashRecord("e" + random.nextInt(6), parts, random.nextBoolean(), random.nextInt(1_000))),
				List.of());
	}

}
