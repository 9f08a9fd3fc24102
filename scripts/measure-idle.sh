#!/usr/bin/env bash
# Measures what an idle fleet costs: processor time, memory and bytes on the
# wire of an entry and of an agent.
#
#   scripts/measure-idle.sh ENGINES [SECONDS [ENTRIES [PARTITIONS]]]
#
# Starts ENTRIES entries (default 2) and ENGINES agents, at most 250 processes,
# without engines behind the agents; waits until the first entry knows all
# agents, and watches for SECONDS (default 30). Prints a row of a Markdown
# table: engines, entries, partitions, then for an entry and for an agent
# processor time, resident MB, bytes/s sent and bytes/s received; last the
# milliseconds from handing in a second ticket until all agents report its
# version to all entries.
set -euo pipefail
cd "$(dirname "$0")/.."

engines=$1
seconds=${2:-30}
entries=${3:-2}
partitions=${4:-8}
base=$((30000 + RANDOM % 200))
ip=127.0.0.1
work=$(mktemp -d)
pids=()
operator_key=example-operator-key-fondazione

stop_all() {
    local status=$? pid
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
    exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() { # log command...
    local log=$1
    shift
    "$@" >"$work/$log.log" 2>&1 &
    pids+=($!)
}

# Ticks of processor time and pages of resident memory of a process.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# Bytes that a process has sent or received on its open TCP connections.
wire_bytes() { # pid sent|received
    ss -tinpH state established | awk -v pid="pid=$1," -v name="bytes_$2:" '
        index($0, pid) {own = 1; next}
        own && match($0, name "[0-9]+") {
            sum += substr($0, RSTART + length(name), RLENGTH - length(name))}
        {own = 0}
        END {print sum + 0}'
}

# All counters of the entry and the agent in one line.
counters() {
    local pid
    for pid in "$entry" "$agent"; do
        echo -n "$(cpu_ticks "$pid") $(wire_bytes "$pid" sent) " \
            "$(wire_bytes "$pid" received) $(resident_kb "$pid") "
    done
}

scripts/make-fleet.sh fondazione "$work/fleet" "$base" "$entries" "$engines" 0
for n in $(seq "$entries"); do
    # All agents are in the subset, pings as at the design scale.
    printf 'routing:\n  subset_size: 1000\nbatch:\n  partitions: %d\n' \
        "$partitions" >>"$work/fleet/entry-$n.yaml"
done
sed -i 's/^peer:$/&\n  ping_interval_ms: 10000\n  ping_timeout_ms: 10000/' \
    "$work"/fleet/{agent,entry}-*.yaml

start log build/tanagertrack-standin --kind log --listen "$ip:$base"
start hosts build/tanagertrack-standin --kind hosts --listen "$ip:$((base + 1))"
for file in "$work"/fleet/agent-*.yaml; do
    start "$(basename "$file")" build/tanagertrackd "$file"
done
agent=${pids[-1]}
for n in $(seq "$entries"); do
    start "entry-$n" build/tanagertrackd "$work/fleet/entry-$n.yaml"
    [ "$n" -ne 1 ] || entry=${pids[-1]}
done

deadline=$((SECONDS + 30))
ready() {
    curl -sf "http://$ip:$((base + 10))/metrics" |
        grep -q "^tanagertrack_targets_connected $engines$"
}
until build/tanagertrack ticket apply --operator "$ip:$((base + 11))" \
    --key "$operator_key" "$work/fleet/ticket-1.yaml" \
    >/dev/null 2>&1 && ready; do
    [ "$SECONDS" -lt "$deadline" ] || { echo "gave up" >&2; exit 1; }
    sleep 0.2
done
# Claims of the partitions settle.
sleep 10

before=$(counters)
sleep "$seconds"
after=$(counters)

# Waits until an entry shows the version at all of its agents.
wait_for_version() { # entry version
    local url="http://$ip:$((base + 10 * $1 + 1))/operator/targets" n=0
    until [ "$n" -eq "$engines" ]; do
        [ "$SECONDS" -lt "$deadline" ] || { echo "gave up" >&2; exit 1; }
        n=$(curl -s -H "Authorization: Bearer $operator_key" "$url" |
            grep -o "\"config_version\":$2[,}]" | wc -l)
    done
}

sed 's/^ticket: 1/ticket: 2/' "$work/fleet/ticket-1.yaml" >"$work/ticket-2.yaml"
deadline=$((SECONDS + 30))
handed_in=$(date +%s%N)
version=$(build/tanagertrack ticket apply --output json \
    --operator "$ip:$((base + 11))" --key "$operator_key" \
    "$work/ticket-2.yaml" | grep -o '"offset":[0-9]*' | cut -d: -f2)
for n in $(seq "$entries"); do
    wait_for_version "$n" "$version"
done
in_effect_ms=$((($(date +%s%N) - handed_in) / 1000000))

echo "$before $after" | awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
    -v head="| $engines | $entries | $partitions |" \
    -v in_effect_ms="$in_effect_ms" '{
    printf "%s", head
    for (i = 1; i <= 5; i += 4)
        printf " %.2f%% | %.1f | %d | %d |", ($(i + 8) - $i) / hz / s * 100,
            $(i + 11) / 1024, ($(i + 9) - $(i + 1)) / s,
            ($(i + 10) - $(i + 2)) / s
    print " " in_effect_ms " |"}'
