#!/bin/sh
# Makes the class archives of both programs by a short run of a whole local fleet that serves requests of every
# kind: they start faster with one, and their first requests cost less. Run at the root of the repository, after
# the build; all that it writes is under target/.
set -e
training=target/training
rm -rf "$training" target/slateslip-controlplane.jsa target/slateslip-dataplane.jsa
mkdir -p "$training"
timeout 120 java -cp target/slateslip-local.jar slateslip.standin.ArchiveTrainingMain target \
  target/slateslip-controlplane.jsa target/slateslip-dataplane.jsa > "$training/log" 2>&1 || cat "$training/log" >&2
for program in controlplane dataplane; do
  test -s "target/slateslip-$program.jsa" || { echo "no class archive, see $training/log" >&2; exit 1; }
done
