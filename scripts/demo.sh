#!/usr/bin/env bash
# Demonstrates the system on loopback with three hosts, three engines and one plain service: runs one streamed request, one
# plain request and one batch job. Exits with 0 only if every step succeeds.
#   --keep     keep the settings, logs and event logs in demo-data/
set -euo pipefail
cd "$(dirname "$0")/.."
keep=${1:-}
items=300
build=build/release
data=$PWD/demo-data

print_step() { printf '\n== %s\n' "$*"; }
fail() { printf 'demo: %s\n' "$*" >&2; exit 1; }

pids=()
host_pids=()
stop_all() {
    local code=$?
    trap - EXIT
    # Stops the hosts first, because their graceful shutdown needs the store.
    for pid in ${host_pids[@]+"${host_pids[@]}"} ${pids[@]+"${pids[@]}"}; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in ${host_pids[@]+"${host_pids[@]}"} ${pids[@]+"${pids[@]}"}; do
        wait "$pid" 2>/dev/null || true
    done
    [ "$code" -ne 0 ] && printf 'demo: failed; logs are in %s\n' "$data" >&2
    [ "$code" -eq 0 ] && [ "$keep" != --keep ] && rm -rf "$data"
    exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Starts a program in the background with its output in a log file; sets $started to its pid.
start() {
    local name=$1
    shift
    "$@" >"$data/$name.log" 2>&1 &
    started=$!
}

# Prints an address that a program listens on: $1 is its name, $2 the position of the address in its line "listening ...".
# Waits for that line.
address_of() {
    for _ in $(seq 200); do
        if grep -q '^listening ' "$data/$1.log"; then
            awk -v field="$(($2 + 1))" '/^listening /{print $field; exit}' "$data/$1.log"
            return
        fi
        sleep 0.05
    done
    fail "$1 did not start: $(tail -3 "$data/$1.log")"
}

wait_ready() {
    for _ in $(seq 300); do
        if curl -sf "http://$1/readyz" >/dev/null; then
            return
        fi
        sleep 0.1
    done
    fail "$1 is not ready"
}

print_step "Installing dependencies and building"
scripts/install-dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release -- -j "$(nproc)" bergamotramp bergamotrampd standin-platform standin-engine standin-plain

rm -rf "$data"
mkdir -p "$data/services"
cli=$build/apps/bergamotramp

print_step "Starting the stand-ins: platform, three engines, one plain service"
start platform $build/test/standin/standin-platform
pids+=("$started")
for number in 1 2 3; do
    start "engine-$number" $build/test/standin/standin-engine --slots 8 --token-interval-us 5000
    pids+=("$started")
done
start plain $build/test/standin/standin-plain --delay-ms 2
pids+=("$started")
platform=$(address_of platform 1)

print_step "Starting three hosts"
# All sockets stay bound until every port is chosen, so that the ports differ.
read -r -a ports < <(python3 -c '
import socket
sockets = [socket.socket() for _ in range(9)]
for each in sockets: each.bind(("127.0.0.1", 0))
print(*[each.getsockname()[1] for each in sockets])')
entries=()
admins=()
hosts_json=""
for number in 1 2 3; do
    centre=recife-a
    [ "$number" = 3 ] && centre=fortaleza-b
    caller=127.0.0.1:${ports[$((number * 3 - 3))]}
    peer=127.0.0.1:${ports[$((number * 3 - 2))]}
    admin=127.0.0.1:${ports[$((number * 3 - 1))]}
    identity="\"name\": \"host-$number\", \"region\": \"nordeste\", \"dataCentre\": \"$centre\",
        \"callerAddress\": \"$caller\", \"peerAddress\": \"$peer\", \"adminAddress\": \"$admin\""
    echo "{$identity, \"storeAddress\": \"$platform\", \"entryTimeToLiveMs\": 1000, \"eventLog\": \"$data/host-$number.events.jsonl\"}" >"$data/host-$number.json"
    hosts_json+="${hosts_json:+, }{$identity, \"state\": \"live\"}"
    entries+=(--entry "$caller")
    admins+=(--admin "$admin")
done
curl -sf -X PUT -d "{\"hosts\": [$hosts_json]}" "http://$platform/control/hosts" >/dev/null
for number in 1 2 3; do
    start "host-$number" $build/apps/bergamotrampd --settings "$data/host-$number.json"
    host_pids+=("$started")
done
for number in 1 2 3; do
    address_of "host-$number" 1 >/dev/null
done

print_step "Publishing the services"
cat >"$data/services/modelo.service.json" <<EOF
{"name": "modelo", "slotsPerUpstream": 8,
 "upstreams": {"nordeste/recife-a": ["$(address_of engine-1 1)", "$(address_of engine-2 1)"], "nordeste/fortaleza-b": ["$(address_of engine-3 1)"]}}
EOF
cat >"$data/services/vitrine.service.json" <<EOF
{"name": "vitrine", "kind": "plain", "upstreams": {"nordeste/recife-a": ["$(address_of plain 1)"]},
 "routes": [{"path": "/", "idempotent": true}]}
EOF
$cli publish "$data/services" "${admins[@]}"
for ((index = 1; index < ${#admins[@]}; index += 2)); do
    wait_ready "${admins[index]}"
done
$cli hosts "${admins[@]}"
$cli services "${admins[@]}"
$cli upstreams "${admins[@]}"

print_step "One streamed online request"
$cli request --service modelo --prompt "What does an entry host do?" --max-tokens 12 "${entries[@]}"

print_step "One request to the plain service"
$cli request --service vitrine --path /item/7 "${entries[@]}"

print_step "One batch job of $items items"
for ((number = 1; number <= items; ++number)); do
    echo "{\"custom_id\": \"item-$number\", \"body\": {\"prompt\": \"Summarise document $number\", \"max_tokens\": 8}}"
done >"$data/items.jsonl"
$cli job submit "$data/items.jsonl" --service modelo --organisation arquivo --wait "${entries[@]}" | tee "$data/job.txt"
job=$(tr '\r' '\n' <"$data/job.txt" | tail -1 | awk '{print $1}')
$cli job results "$job" --organisation arquivo --to "$data/results.jsonl" "${entries[@]}"
results=$(wc -l <"$data/results.jsonl")
distinct=$(python3 -c 'import json, sys; print(len({json.loads(line)["custom_id"] for line in open(sys.argv[1])}))' "$data/results.jsonl")
echo "$results results of $distinct items"
[ "$results" = "$items" ] && [ "$distinct" = "$items" ] || fail "the job of $items items has $results results of $distinct items"

print_step "Last events of the merged time line of all hosts"
$cli timeline "$data"/host-*.events.jsonl --last 15

print_step "Stopping the hosts gracefully"
for pid in "${host_pids[@]}"; do
    kill -TERM "$pid"
done
for pid in "${host_pids[@]}"; do
    wait "$pid" || fail "host with pid $pid ended with $?"
done
host_pids=()
print_step "All steps succeeded"
