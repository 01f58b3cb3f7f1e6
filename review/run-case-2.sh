#!/bin/sh
# Runs a case after deploy/build.sh and review/build-2.sh: run-case-2.sh NAME FOLDER.
cd "$(dirname "$0")/.." || exit 2
[ -f target/jaywood-run.jar ] && [ -d target/review-2/classes ] || { echo "run deploy/build.sh and review/build-2.sh first" >&2; exit 2; }
exec "$(cat target/review-2/jdk)/bin/java" -cp target/review-2/classes Case "$1" "$PWD" "$2"
