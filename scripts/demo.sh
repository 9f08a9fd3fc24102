#!/usr/bin/env bash
# Runs the whole path on this machine: stand-ins of the platform and two entries
# as processes on loopback, an online request and a batch job.
# With --keep, everything keeps running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = "--keep" ] && keep=yes

scripts/install-packages.sh
scripts/build.sh build

items=1000
work=$(mktemp -d)
pids=()
names=()

# Ends the processes that this script started, by their ids, last ones first:
# an entry that stops hands its partitions back through the log.
stop_all() {
    local status=$? n
    trap - EXIT INT TERM
    [ "$status" -eq 0 ] || show_logs
    for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
        kill -TERM "${pids[n]}" 2>/dev/null || continue
        timeout 35 tail --pid="${pids[n]}" -f /dev/null && continue
        echo "${names[n]} does not stop; killed" >&2
        kill -KILL "${pids[n]}"
        wait "${pids[n]}" 2>/dev/null || true
        status=1
    done
    rm -rf "$work"
    exit "$status"
}

show_logs() {
    echo "demo failed; last lines of each process:" >&2
    tail -n 3 "$work"/*.log >&2 || true
}

trap stop_all EXIT
trap 'exit 130' INT TERM

start() { # name command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    names+=("$name")
}

# Repeats a command until it succeeds, for at most 20 s.
wait_for() { # what command...
    local what=$1 deadline=$((SECONDS + 20))
    shift
    until "$@" >"$work/wait" 2>&1; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "gave up: $what" >&2
            cat "$work/wait" >&2
            return 1
        fi
        sleep 0.1
    done
}

port_is_used() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# A range of ports below the ephemeral ones, of which none is in use.
choose_base_port() {
    local offset
    for _ in $(seq 50); do
        base=$((20000 + RANDOM % 100 * 100))
        for offset in 0 10 11 12 13 20 21 22 23 410 420 810; do
            ! port_is_used $((base + offset)) || continue 2
        done
        return 0
    done
    echo "no free range of ports" >&2
    return 1
}

choose_base_port
ip=127.0.0.1
entry1=$ip:$((base + 10)) operator1=$ip:$((base + 11))
entry2=$ip:$((base + 20)) operator2=$ip:$((base + 21))
key=example-key-consegne
operator_key=example-operator-key-fondazione
tool=build/tanagertrack

echo "Settings: scripts/make-fleet.sh fondazione (2 entries, 2 engines, 1 service)"
scripts/make-fleet.sh fondazione "$work/fleet" "$base" 2 2 1

stand_in() { # name port options...
    local name=$1 port=$2
    shift 2
    start "$name" build/tanagertrack-standin --listen "$ip:$port" "$@"
}
stand_in store "$base" --kind store
stand_in engine-1 $((base + 410)) --kind engine --id scribi-1
stand_in engine-2 $((base + 420)) --kind engine --id scribi-2
stand_in service-1 $((base + 810)) --kind service --name carico --id carico-1
for file in "$work"/fleet/entry-*.yaml; do
    start "$(basename "$file" .yaml)" build/tanagertrackd "$file"
done
for address in "$entry1" "$entry2"; do
    wait_for "entry $address starts" curl -sf "http://$address/healthz"
done

echo "Ticket 1 through the operators' listener:"
apply_ticket() {
    "$tool" ticket apply --operator "$operator1" --key "$operator_key" \
        "$work/fleet/ticket-1.yaml"
}
wait_for "ticket 1 is accepted" apply_ticket
sed 's/^/  /' "$work/wait"
for address in "$entry1" "$entry2"; do
    wait_for "entry $address is ready" curl -sf "http://$address/readyz"
done

echo "Online answer, streamed from entry 1:"
ask() {
    curl -sSN --fail-with-body "http://$entry1/v1/chat/completions" \
        -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
        -d '{"model":"scribi","stream":true,"max_tokens":8,
             "messages":[{"role":"user","content":"Ciao"}]}'
}
wait_for "an online answer" ask
grep -q '^data: \[DONE\]' "$work/wait"
text=$(grep -o '"content":"[^"]*"' "$work/wait" | cut -d'"' -f4 | tr -d '\n')
echo "  $text"

echo "Job of $items items, submitted to entry 1, read from entry 2:"
for ((n = 1; n <= items; n++)); do
    printf '{"custom_id":"crate-%d","method":"POST","url":"%s","body":%s}\n' \
        "$n" /v1/chat/completions \
        "{\"model\":\"scribi\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Label of crate $n\"}]}"
done >"$work/items.jsonl"
submit() {
    "$tool" job submit --output json --entry "$entry1" --key "$key" \
        "$work/items.jsonl"
}
wait_for "the job is accepted" submit
job=$(grep -o '"id": *"[^"]*"' "$work/wait" | head -1 | cut -d'"' -f4)
echo "  $job"
timeout 120 "$tool" job watch --entry "$entry2" --key "$key" "$job" |
    tail -n 1 | sed 's/^/  /'
"$tool" job results --entry "$entry2" --key "$key" "$job" >"$work/results.jsonl"

grep -o '"custom_id": *"[^"]*"' "$work/results.jsonl" | cut -d'"' -f4 |
    sort >"$work/got"
seq -f 'crate-%.0f' "$items" | sort >"$work/expected"
diff "$work/expected" "$work/got" >"$work/wait" || {
    echo "results differ from the items:" >&2
    head "$work/wait" >&2
    exit 1
}
echo "  $(wc -l <"$work/got") results, each custom_id exactly once"

cat <<END
Addresses:
  callers    http://$entry1  http://$entry2
  operators  http://$operator1  http://$operator2
  metrics    http://$entry1/metrics  http://$entry2/metrics
END
next="curl -N http://$entry1/v1/chat/completions -H 'Authorization: Bearer $key' -d '{\"model\":\"scribi\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Ciao\"}]}'"
if [ "$keep" = yes ]; then
    echo "Try next: $next"
    echo "Running until Ctrl-C."
    trap 'exit 0' INT TERM
    start pause sleep infinity
    wait $!
else
    echo "Try next: scripts/demo.sh --keep, and then in another terminal:"
    echo "  $next"
fi
