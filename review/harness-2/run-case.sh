#!/bin/sh
# usage: run-case.sh CLASS FOLDER; runs a case and writes record.txt into its folder.
cd "$(dirname "$0")/../.."
exec java -Xmx128m -Dsun.net.httpserver.nodelay=true -Dsun.net.http.allowRestrictedHeaders=true \
  -Dsun.net.http.retryPost=false -Dhttp.keepAlive=false \
  -cp target/review-2:target/laburnumarch-0.1.0-all.jar "review.$1" . "$2/record.txt"
