#!/bin/sh
# Makes the class archives of both programs by a short run of each: they start faster with one. Run at
# the root of the repository, after the build; all that it writes is under target/.
set -e
training=target/training
port=$((20000 + $$ % 20000))
rm -rf "$training" target/slateslip-controlplane.jsa target/slateslip-dataplane.jsa
mkdir -p "$training/data"

cat > "$training/settings.conf" <<SETTINGS
node=training
ip=127.0.0.1
zone=z
zones.z=r
listen.control=127.0.0.1:$port
port_range=$((port + 1)),$((port + 2))
seed_nodes=127.0.0.1:$port
bootstrap=true
counts_for_quorum=true
data_dir=$training/data
heartbeat_ms=1000
fault_tolerance.machines=0
SETTINGS
echo '{"version":1,"routes":[],"services":[]}' > "$training/configuration.json"
export SLATESLIP_CONFIG="$training/settings.conf"
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/slateslip-controlplane.jsa \
  -jar target/slateslip-controlplane.jar > "$training/log" 2>&1 &
agent=$!
trap 'kill "$agent" 2> /dev/null || true' EXIT
timeout 30 java -jar target/slateslip-controlplane.jar config put "$training/configuration.json" \
  > "$training/command" 2>&1 || cat "$training/command" >&2
kill -TERM "$agent"
wait "$agent" || true
test -s target/slateslip-controlplane.jsa || { echo "no class archive, see $training/log" >&2; exit 1; }

SLATESLIP_CONFIG=deploy/archive/dataplane.conf timeout -s TERM 5 \
  java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.machineId=02:00:00:00:00:01 \
  -XX:ArchiveClassesAtExit=target/slateslip-dataplane.jsa -Xlog:disable \
  -jar target/slateslip-dataplane.jar > "$training/dataplane.log" 2>&1 || true
test -s target/slateslip-dataplane.jsa || { echo "no class archive, see $training/dataplane.log" >&2; exit 1; }
