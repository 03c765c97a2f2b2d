#!/usr/bin/env bash
# Installs the dependencies, builds, and starts two stand-in upstreams and a daemon with a file catalogue on free ports. Sends
# requests, a stream and datagrams through it, then packets of flows through an entry host. Prints the responses and
# the state, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release --target medlarwayd medlarwayctl standin_upstream standin_platform

daemon=$PWD/build/release/src/daemon/medlarwayd
tool=$PWD/build/release/src/ctl/medlarwayctl
upstream=$PWD/build/release/bench/standin_upstream
platform=$PWD/build/release/bench/standin_platform
folder=$(mktemp -d)
started=()

# Stops only the processes that this script started.
clean_up() {
    for process in "${started[@]}"; do
        kill "$process" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap clean_up EXIT

fail() {
    echo "quickstart: $1" >&2
    [ ! -f "$folder/daemon.log" ] || tail -n 20 "$folder/daemon.log" >&2
    exit 1
}

# Retries a command until it succeeds. Fails after about ten seconds.
wait_for() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    fail "timed out waiting for: $*"
}

# Sets free_port_result to a port that is currently used neither for TCP nor for UDP.
used_ports=" "
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 10000))
        case "$used_ports" in *" $port "*) continue ;; esac
        if ! grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/udp; then
            used_ports="$used_ports$port "
            free_port_result=$port
            return 0
        fi
    done
}

address_of() { # KIND NAME: prints the address on which the stand-in NAME serves KIND
    sed -n "1s/.* $1=\([0-9.:]*\).*/\1/p" "$folder/$2.log"
}

echo "== two stand-in upstreams"
for name in first second; do
    "$upstream" --name "$name" >"$folder/$name.log" 2>&1 &
    started+=($!)
    wait_for grep -q datagram= "$folder/$name.log"
    head -n 1 "$folder/$name.log"
done

free_port; operator=127.0.0.1:$free_port_result
free_port; web=127.0.0.1:$free_port_result
free_port; feed=127.0.0.1:$free_port_result
free_port; sensors=127.0.0.1:$free_port_result

cat >"$folder/medlarwayd.yaml" <<END
host: {address: 127.0.0.1, zone: here}
operator: {listen: $operator}
platform: {catalogue-file: catalogue.yaml}
graces: {requests: 5s, feeds: 2s}
...
END

service() { # NAME CLASS KIND ADDRESS: prints one entry of the catalogue
    cat <<END
  - name: $1
    owner: quickstart
    class: $2
    kind: $3
    address: $4
    upstreams:
      - {address: $(address_of "$3" first), zone: here}
      - {address: $(address_of "$3" second), zone: here}
END
}

{
    echo "services:"
    service web idempotent http "$web"
    service feed feed stream "$feed"
    service sensors feed datagram "$sensors"
} >"$folder/catalogue.yaml"

echo "== settings and catalogue"
"$tool" check-settings "$folder/medlarwayd.yaml"
"$tool" check-catalogue "$folder/catalogue.yaml"

echo "== the daemon"
"$daemon" --settings "$folder/medlarwayd.yaml" >"$folder/daemon.log" 2>&1 &
daemon_process=$!
started+=("$daemon_process")
wait_for curl --silent --fail "http://$operator/readyz"
grep -E 'Started|ServiceListening' "$folder/daemon.log"

echo "== requests"
for number in 1 2 3 4; do
    answer=$(curl --silent --show-error --fail --max-time 10 "http://$web/request/$number") || fail "request $number failed"
    echo "answer: $answer"
done
answer=$(curl --silent --show-error --fail --max-time 10 --data "a whole body" "http://$web/submit") || fail "the submission failed"
echo "answer: $answer"
size=$(curl --silent --fail --max-time 30 "http://$web/pack?bytes=5000000" | wc -c)
[ "$size" -eq 5000000 ] || fail "received $size of 5000000 bytes"
echo "answer: $size bytes of 5000000"

echo "== a stream"
exec 3<>"/dev/tcp/${feed%:*}/${feed#*:}"
IFS= read -r -t 10 greeting <&3 || fail "no greeting from the stream"
for line in "one line" "and another"; do
    echo "$line" >&3
    IFS= read -r -t 10 back <&3 || fail "no echo from the stream"
    [ "$back" = "$line" ] || fail "the stream echoed '$back' instead of '$line'"
    echo "from $greeting: $back"
done
exec 3>&-

echo "== datagrams"
exec 4<>"/dev/udp/${sensors%:*}/${sensors#*:}"
for line in "reading 1" "reading 2"; do
    printf '%s' "$line" >&4
    # dd reads the whole datagram at once. The shell's read builtin would read its first byte and lose the rest.
    back=$(timeout 10 dd bs=65536 count=1 status=none <&4) || fail "no response datagram"
    [ "${back#*: }" = "$line" ] || fail "unexpected response datagram '$back'"
    echo "from $back"
done
exec 4>&-

echo "== state"
"$tool" state "$operator"
echo "== why a request would go where it goes"
"$tool" explain "$operator" --service web --path /request/5 --caller 127.0.0.1

echo "== planned stop"
kill -TERM "$daemon_process"
wait "$daemon_process" || fail "the daemon exited with code $?"
grep -E 'StopRequested|Stopped' "$folder/daemon.log"
echo "== an entry host: packets of flows, with a stand-in for the platform's store, upstreams and a client"
free_port; store=127.0.0.1:$free_port_result
free_port; packets=127.0.0.1:$free_port_result
free_port; ready=127.0.0.1:$free_port_result
free_port; control=127.0.0.1:$free_port_result
free_port; peers=127.0.0.1:$free_port_result
cat >"$folder/entry.yaml" <<END
entry:
  name: quickstart
  zone: here
  packets: $packets
  ready: $ready
  control: $control
  store: $store
  peers: $peers
  grace-seconds: 4
...
END
"$tool" check-settings "$folder/entry.yaml"
"$daemon" --settings "$folder/entry.yaml" >"$folder/entry.log" 2>&1 &
entry_process=$!
started+=("$entry_process")
"$platform" --store "$store" --packets "$packets" || fail "a flow was not answered"
"$tool" flows "$control"
kill -TERM "$entry_process"
wait "$entry_process" || fail "the entry host exited with code $?"
grep -E 'Started|CatalogueAccepted|Stopped' "$folder/entry.log"
echo "== done"
