#!/bin/sh
# Builds the stand-ins and clients of the cases that are scripts, into target/review-2.
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
jdk=$(find_jdk) || { echo "build-2: no JDK 25 or later found" >&2; exit 1; }
rm -rf target/review-2
mkdir -p target/review-2/classes
"$jdk/bin/javac" -d target/review-2/classes review/standin-2/*.java
echo "$jdk" >target/review-2/jdk
