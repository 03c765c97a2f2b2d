#!/usr/bin/env bash
# Starts five daemons on loopback addresses, waits until they have settled, and prints for each idle daemon the bytes it sends
# to its peers, its CPU usage and its memory usage. Stops only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
bin=$PWD/build/release/src
folder=$(mktemp -d)
pids=()
finish() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait || true
    rm -rf "$folder"
}
trap finish EXIT
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' > "$folder/key"
cat > "$folder/catalogue.yaml" <<'YAML'
services:
  - name: registry
    owner: trust
    class: protected
    kind: http
    address: 0.0.0.0:28080
    upstreams:
      - {address: "127.0.0.1:28190", zone: zone1}
      - {address: "127.0.0.1:28191", zone: zone2}
YAML
hosts=$(for i in 1 2 3 4 5; do echo "  - {address: \"127.0.41.$i:28700\", zone: zone$((i % 3))}"; done)
for i in 1 2 3 4 5; do
    cat > "$folder/$i.yaml" <<YAML
host: {address: 127.0.41.$i, zone: zone$((i % 3))}
operator: {listen: "127.0.41.$i:28900"}
peers: {listen: "127.0.41.$i:28700", key-file: key}
platform: {catalogue-file: catalogue.yaml}
hosts:
$hosts
YAML
    "$bin/daemon/medlarwayd" --settings "$folder/$i.yaml" > "$folder/log$i" &
    pids+=($!)
done
sample() {
    for i in 1 2 3 4 5; do
        pid=${pids[$((i - 1))]}
        bytes=$("$bin/ctl/medlarwayctl" counters "127.0.41.$i:28900" | awk '/^medlarway_peer_bytes_sent_total/ {print $2}')
        echo "$i $bytes $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")"
    done
}
sleep 8
sample > "$folder/before"
sleep "$seconds"
sample > "$folder/after"
paste "$folder/before" "$folder/after" | awk -v seconds="$seconds" -v hertz="$(getconf CLK_TCK)" \
    '{printf "host %d: %.0f bytes/s, %.2f%% of a core, %d kB\n", $1, ($6 - $2) / seconds, ($7 - $3) * 100 / hertz / seconds, $8}'
