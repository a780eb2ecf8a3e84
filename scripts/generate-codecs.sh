#!/bin/sh
# Generates the SBE codecs of src/main/sbe into src/main/java (committed: the build runs no generator).
# Needs sbe-tool 1.34.0 and agrona 1.23.1 in the local Maven repository.
set -e
cd "$(dirname "$0")/.."
repository="${MAVEN_REPOSITORY:-$HOME/.m2/repository}"
tool="$repository/uk/co/real-logic/sbe-tool/1.34.0/sbe-tool-1.34.0.jar"
agrona="$repository/org/agrona/agrona/1.23.1/agrona-1.23.1.jar"
generate() {
  java -Dsbe.output.dir="$1" -Dsbe.target.language=Java -Dsbe.java.generate.interfaces=false \
    -Dsbe.validation.stop.on.error=true -Dsbe.generate.ir=false \
    -cp "$tool:$agrona" uk.co.real_logic.sbe.SbeTool "$2"
}
for schema in src/main/sbe/*.xml; do
  generate src/main/java "$schema"
done
for schema in src/test/sbe/*.xml; do
  generate src/test/java "$schema"
done
