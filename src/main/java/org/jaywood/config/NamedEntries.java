package org.jaywood.config;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Entries of one section of the deployment file by name.
 *
 * @param names all names, including those of entries with errors, so that a reference to
 * such an entry is not reported as unknown
 * @param values entries without errors
 */
record NamedEntries<T>(Set<String> names, Map<String, T> values) {

	static <T> NamedEntries<T> read(@Nullable YamlField section, Function<YamlField, Optional<T>> reader) {
		Set<String> names = new LinkedHashSet<>();
		Map<String, T> values = new LinkedHashMap<>();
		Optional.ofNullable(section).flatMap(YamlField::mapping).ifPresent((mapping) -> {
			mapping.fields().forEach((name, field) -> {
				field.checkName(name);
				names.add(name);
				reader.apply(field).ifPresent((value) -> values.put(name, value));
			});
		});
		return new NamedEntries<>(names, values);
	}

}
