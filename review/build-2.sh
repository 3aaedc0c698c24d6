#!/bin/sh
# Compiles the stand-ins of the cases 6 to 9 against the jar that the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 -cp target/laburnumarch-0.1.0-all.jar review/harness-2/*.java
