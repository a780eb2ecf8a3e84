#!/bin/sh
# Makes the class archives of both programs by a short run of a whole local fleet that serves requests of every
# kind: they start faster with one, and their first requests cost less. Run at the root of the repository, after
# the build; all that it writes is under target/.
set -e
training=target/training
attempts=2
rm -rf "$training" target/slateslip-controlplane.jsa target/slateslip-dataplane.jsa
mkdir -p "$training"

train() {
  timeout 240 java -cp target/slateslip-local.jar slateslip.standin.ArchiveTrainingMain target \
    target/slateslip-controlplane.jsa target/slateslip-dataplane.jsa > "$training/log" 2>&1
}

# A port that was free may be taken by the time that a process listens on it: then the run is repeated.
until train; do
  attempts=$((attempts - 1))
  cat "$training/log" >&2
  [ "$attempts" -gt 0 ] || { echo "no class archives, see $training/log" >&2; exit 1; }
done
