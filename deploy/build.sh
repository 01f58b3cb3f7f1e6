#!/bin/sh
# Builds the jar and a small Java runtime for the platform below target/, with a class archive for fast starts.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Dcheckstyle.skip -Dspring-javaformat.validate.skip package
# Prints the home of the first JDK whose release file names version 25 or later.
find_jdk() {
	for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
		[ -x "$home/bin/jlink" ] && [ -f "$home/release" ] || continue
		release=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$home/release")
		if [ "${release:-0}" -ge 25 ]; then
			echo "$home"
			return 0
		fi
	done
	return 1
}
jdk=$(find_jdk) || { echo "build: no JDK 25 or later found" >&2; exit 1; }
rm -rf target/jre
"$jdk/bin/jlink" --add-modules java.base,java.logging,java.management,jdk.management,jdk.httpserver,jdk.net,jdk.unsupported,java.naming,java.net.http,java.desktop,java.sql \
	--strip-debug --no-header-files --no-man-pages --output target/jre
cp target/jaywood-0.1.0-SNAPSHOT-all.jar target/jaywood-run.jar

java_flags="-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 --enable-native-access=ALL-UNNAMED -cp target/jaywood-run.jar"
# Writes an archive of the classes that a start needs.
archive_classes() {
	target/jre/bin/java $java_flags -Xshare:off -XX:DumpLoadedClassList=target/jaywood.classes \
		org.jaywood.cli.Jaywood rehearse --directory deploy/rehearsal >target/rehearsal.log 2>&1 &&
		target/jre/bin/java $java_flags -Xshare:dump -XX:+AOTClassLinking -XX:SharedClassListFile=target/jaywood.classes \
			-XX:SharedArchiveFile=target/jaywood.jsa >target/archive.log 2>&1
}
# Without the archive the processes start too, only more slowly.
archive_classes || { echo "build: no class archive, see target/rehearsal.log and target/archive.log" >&2; rm -f target/jaywood.jsa; }
