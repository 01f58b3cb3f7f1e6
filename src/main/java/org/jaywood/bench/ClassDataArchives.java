package org.jaywood.bench;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.wire.Digests;

/**
 * Cache of class-data archives in the directory for temporary files, one for each build
 * and program. An archive halves the processor time of a start. The first process of a
 * program without an archive records one when it ends on SIGTERM.
 */
final class ClassDataArchives {

	/** Age at which archives are deleted; each build leaves about 80 MB. */
	private static final long RETENTION_MILLIS = Duration.ofHours(6).toMillis();

	private final Path directory;

	private final Path recordingDirectory;

	private final String buildId;

	private final Map<String, Path> pendingRecordings = new ConcurrentHashMap<>();

	private final boolean jarIsFile;

	ClassDataArchives(Path jar, String java, Path recordingDirectory) throws IOException {
		this.jarIsFile = Files.isRegularFile(jar);
		this.directory = Path.of(System.getProperty("java.io.tmpdir"),
				"jaywood-classes-" + System.getProperty("user.name"));
		this.buildId = this.jarIsFile
				? Digests.sha256(java + jar + Files.getLastModifiedTime(jar) + Files.size(jar)).substring(0, 16) : "";
		this.recordingDirectory = recordingDirectory;
		if (this.jarIsFile) {
			Files.createDirectories(this.directory);
		}
	}

	/**
	 * Returns the JVM options for the next process of a program.
	 */
	synchronized List<String> jvmOptions(String program) {
		if (!this.jarIsFile) {
			return List.of();
		}
		Path archive = archivePath(program);
		if (Files.exists(archive)) {
			return List.of("-Xlog:disable", "-XX:SharedArchiveFile=" + archive);
		}
		if (this.pendingRecordings.containsKey(program)) {
			return List.of();
		}
		Path recordedPath = this.recordingDirectory.resolve(program + ".jsa");
		this.pendingRecordings.put(program, recordedPath);
		return List.of("-Xlog:disable", "-XX:ArchiveClassesAtExit=" + recordedPath);
	}

	/**
	 * Whether the next process of the program will record an archive.
	 */
	synchronized boolean willRecord(String program) {
		return this.jarIsFile && !Files.exists(archivePath(program)) && !this.pendingRecordings.containsKey(program);
	}

	/**
	 * Moves the archives that ended processes recorded into the cache.
	 */
	synchronized void storeRecorded() throws IOException {
		List<String> stored = new ArrayList<>();
		for (Map.Entry<String, Path> entry : this.pendingRecordings.entrySet()) {
			if (Files.exists(entry.getValue())) {
				Path staged = Files.createTempFile(this.directory, "recorded", ".jsa");
				Files.move(entry.getValue(), staged, StandardCopyOption.REPLACE_EXISTING);
				Files.move(staged, archivePath(entry.getKey()), StandardCopyOption.ATOMIC_MOVE);
				stored.add(entry.getKey());
			}
		}
		stored.forEach(this.pendingRecordings::remove);
		if (!stored.isEmpty()) {
			deleteOld();
		}
	}

	private void deleteOld() {
		long oldestMillis = System.currentTimeMillis() - RETENTION_MILLIS;
		File[] oldArchives = this.directory.toFile().listFiles((file) -> file.lastModified() < oldestMillis);
		Arrays.stream((oldArchives != null) ? oldArchives : new File[0]).forEach(File::delete);
	}

	private Path archivePath(String program) {
		return this.directory.resolve(this.buildId + "-" + program + ".jsa");
	}

}
