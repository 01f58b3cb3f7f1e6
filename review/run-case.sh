#!/bin/sh
# Runs one case: run-case.sh CLASS FOLDER. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/.." || exit 2
[ -d target/review ] || { echo "run: target/review is missing; run review/build.sh" >&2; exit 2; }
exec target/jre/bin/java -Xmx512m -Dcom.sun.net.httpserver.HttpServerProvider=sun.net.httpserver.DefaultHttpServerProvider \
	-Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 -Dsun.net.httpserver.maxReqTime=60 \
	-Djdk.httpclient.allowRestrictedHeaders=host -cp target/review:target/jaywood-run.jar "review.$1" "$2"
