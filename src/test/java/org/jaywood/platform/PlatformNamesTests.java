package org.jaywood.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against names of the platform in other packages, where a change of the platform
 * would have to be followed in many places.
 */
class PlatformNamesTests {

	private static final Path MAIN = Path.of("src/main/java/org/jaywood");

	private static final List<String> PLATFORM_NAMES = List.of("X-Attempt-Id", "X-Deadline-Ms", "X-Response-Seal",
			"X-Not-Executed", "X-Expect-Instance", "X-Expect-Version", "X-Tenant", "X-Request-Priority",
			"X-Weight-Versions", "X-Token-Usage", "X-Length-Hint", "SampleCount", "HasMore", "AsOf", "AllowStale",
			"AllowedRegions", "StartAfter", "PathPrefix", "TimeoutMs", "ApiKeys", "ColdPerS", "ColdLeftMs", "KvUsed",
			"evacuations", "stage-put", "/manifest/", "Store-Era", "X-Duty-Holder", "X-Fencing-Token", "DutyPerS",
			"Duties", "LeaseMs", "UsageWindowS", "UsageLateS", "WindowId", "Counts", "leases", "usage-counts", "/scale",
			"Desired", "BootS");

	@Test
	void platformNamesOccurOnlyInAdapter() throws IOException {
		try (Stream<Path> files = Files.walk(MAIN)) {
			List<String> occurrences = files.filter((file) -> file.toString().endsWith(".java"))
				.filter((file) -> !file.startsWith(MAIN.resolve("platform")))
				.flatMap((file) -> names(file).map((name) -> file + ": " + name))
				.toList();
			assertThat(occurrences).isEmpty();
		}
	}

	private static Stream<String> names(Path file) {
		try {
			String text = Files.readString(file);
			return PLATFORM_NAMES.stream()
				.filter((name) -> text.contains("\"" + name + "\"") || text.contains("\"" + name + "="));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
