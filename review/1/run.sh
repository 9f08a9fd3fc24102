#!/usr/bin/env bash
# A batch job is running. The entry that runs it is killed and started again while
# the store's topic "keyed.op" is down for 4.5 s; the other entry goes on. No item
# of the job may be given up.
set -u
cd "$(dirname "$0")/../.."
. review/lib.sh
begin review/1

outage_s=4.5
job=7c41e09b52d6a3f8
down_file=$work/down

start_store
gate=$ip:$((base + 1))
start gate "$stand_in" gate --listen "$gate" --upstream "$store" \
    --topic keyed.op --down-while "$down_file"
wait_for 10 "the gate starts" port_is_used $((base + 1))
for n in 1 2; do
    start_engine $n --events 40 --gap-ms 200
done
put_configuration 1 "$stream_route" "$batch_route"
for entry in 1 2; do
    start_entry $entry "$gate"
done
for entry in 1 2; do
    wait_for 20 "entry $entry is ready" is_ready $entry
done

items=
for n in 01 02 03 04 05 06; do
    items+=${items:+,}$(item e5b2907c14da6f$n 350 400)
done
submit 1 $job "$items"
[ "$status" = 202 ] || cannot "the batch job was not accepted"
sleep 1

if [ "${TROUBLE:-1}" != 0 ]; then
    touch "$down_file"
    note "store: topic keyed.op is down"
    kill -KILL "${entry_pid[1]}"
    note "entry 1: killed"
    wait "${entry_pid[1]}" 2>/dev/null
    start_entry 1 "$gate"
    note "entry 1: started again"
    sleep $outage_s
    rm "$down_file"
    note "store: topic keyed.op is back"
fi

for entry in 1 2; do
    wait_for 20 "entry $entry is ready" is_ready $entry
done
for _ in $(seq 40); do
    read_job 1 $job 0
    [[ $answer != *dead_lettered* ]] ||
        broken "MIXED: an item is dead_lettered without a reason"
    [[ $answer != *'"next":6'* ]] || held
    sleep 1
done
cannot "the job did not end"
