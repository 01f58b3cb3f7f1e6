#!/bin/sh
# Builds the stand-ins of the review below target/review. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
# Prints the home of the first JDK whose release file names version 25 or later.
find_jdk() {
	for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
		[ -x "$home/bin/javac" ] && [ -f "$home/release" ] || continue
		release=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$home/release")
		if [ "${release:-0}" -ge 25 ]; then
			echo "$home"
			return 0
		fi
	done
	return 1
}
jdk=$(find_jdk) || { echo "build: no JDK 25 or later found" >&2; exit 1; }
[ -f target/jaywood-run.jar ] || { echo "build: target/jaywood-run.jar is missing; run deploy/build.sh" >&2; exit 1; }
rm -rf target/review
mkdir -p target/review
"$jdk/bin/javac" -nowarn -d target/review -cp target/jaywood-run.jar review/standin/*.java
