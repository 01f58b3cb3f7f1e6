package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Json;

/**
 * Writes the result of an experiment as one JSON line.
 */
final class ResultLine {

	private ResultLine() {
	}

	/**
	 * Prints a result and appends it to a file.
	 * @param result fields of the result
	 * @param output the file, or null for none
	 */
	static void write(Object result, @Nullable Path output) throws IOException {
		String line = Json.text(result);
		System.out.println(line);
		if (output != null) {
			Files.writeString(output, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}
	}

}
