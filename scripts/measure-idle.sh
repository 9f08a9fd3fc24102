#!/usr/bin/env bash
# Measures what an idle fleet costs: processor time, memory and bytes on the
# wire of an entry and of an agent.
#
#   scripts/measure-idle.sh ENGINES [SECONDS]
#
# Starts two entries and ENGINES agents (at most 150) without engines behind
# them, waits until all are connected, and watches for SECONDS (default 30).
# Prints one row of a Markdown table.
set -euo pipefail
cd "$(dirname "$0")/.."

engines=$1
seconds=${2:-30}
base=$((30000 + RANDOM % 200))
ip=127.0.0.1
work=$(mktemp -d)
pids=()

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

# Bytes that a process has sent on its open TCP connections.
sent_bytes() {
    ss -tinpH state established | awk -v pid="pid=$1," '
        index($0, pid) {own = 1; next}
        own && match($0, /bytes_sent:[0-9]+/) {
            sum += substr($0, RSTART + 11, RLENGTH - 11)}
        {own = 0}
        END {print sum + 0}'
}

scripts/make-fleet.sh fondazione "$work/fleet" "$base" 2 "$engines" 0
for n in 1 2; do
    # All agents are in the subset, pings as at the design scale.
    printf 'routing:\n  subset_size: 1000\n' >>"$work/fleet/entry-$n.yaml"
done
sed -i 's/^peer:$/&\n  ping_interval_ms: 10000\n  ping_timeout_ms: 10000/' \
    "$work"/fleet/{agent,entry}-*.yaml

start log build/tanagertrack-standin --kind log --listen "$ip:$base"
start hosts build/tanagertrack-standin --kind hosts --listen "$ip:$((base + 1))"
for file in "$work"/fleet/agent-*.yaml; do
    start "$(basename "$file")" build/tanagertrackd "$file"
done
agent=${pids[-1]}
start entry-1 build/tanagertrackd "$work/fleet/entry-1.yaml"
entry=${pids[-1]}
start entry-2 build/tanagertrackd "$work/fleet/entry-2.yaml"

deadline=$((SECONDS + 30))
ready() {
    curl -sf "http://$ip:$((base + 10))/metrics" |
        grep -q "^tanagertrack_targets_connected $engines$"
}
until build/tanagertrack ticket apply --operator "$ip:$((base + 11))" \
    --key example-operator-key-fondazione "$work/fleet/ticket-1.yaml" \
    >/dev/null 2>&1 && ready; do
    [ "$SECONDS" -lt "$deadline" ] || { echo "gave up" >&2; exit 1; }
    sleep 0.2
done
# Claims of the partitions settle.
sleep 10

before=("$(cpu_ticks "$entry")" "$(cpu_ticks "$agent")"
    "$(sent_bytes "$entry")" "$(sent_bytes "$agent")")
sleep "$seconds"
after=("$(cpu_ticks "$entry")" "$(cpu_ticks "$agent")"
    "$(sent_bytes "$entry")" "$(sent_bytes "$agent")")

hz=$(getconf CLK_TCK)
awk -v n="$engines" -v s="$seconds" -v hz="$hz" \
    -v ec="$((after[0] - before[0]))" -v ac="$((after[1] - before[1]))" \
    -v eb="$((after[2] - before[2]))" -v ab="$((after[3] - before[3]))" \
    -v em="$(resident_kb "$entry")" -v am="$(resident_kb "$agent")" 'BEGIN {
    printf "| %d | %.2f%% | %.1f | %d | %.2f%% | %.1f | %d |\n", n,
        ec / hz / s * 100, em / 1024, eb / s,
        ac / hz / s * 100, am / 1024, ab / s}'
