#!/bin/sh
# Compiles the stand-ins of the scripts. The build of deploy/system.toml must have run before.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp target/laburnumarch-0.1.0-all.jar review/harness/*.java
