#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. To be run after the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/harness/*.java
