package org.jaywood.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a page of events whose entries differ from the catalogue in the code.
 */
class EventCatalogueTests {

	@Test
	void pageListsEachEventWithItsNumberNameLevelAndTemplate() throws IOException {
		List<List<String>> page = Files.readAllLines(Path.of("docs/events.md"))
			.stream()
			.filter((line) -> line.matches("\\| \\d{4} \\|.*"))
			.map((line) -> Arrays.stream(line.split("\\|")).map(String::strip).toList().subList(1, 5))
			.toList();
		List<List<String>> catalogue = Arrays.stream(Event.values())
			.map((event) -> List.of(Integer.toString(event.number()), event.name(), event.level().name(),
					event.template()))
			.toList();
		assertThat(page).containsExactlyElementsIn(catalogue);
	}

	@Test
	void numbersAreUnique() {
		assertThat(Arrays.stream(Event.values()).map(Event::number).toList()).containsNoDuplicates();
	}

}
