#!/usr/bin/env bash
# A batch job waits for busy engines. The operator adds a route whose prefix is
# longer than that of the job's route. The job's own route stays. No item of the
# job may be given up.
set -u
cd "$(dirname "$0")/../.."
. review/lib.sh
begin review/5

job=7c41e09b52d6a3f8
added_route='{"name":"r-labels","host":"lots.example","pathPrefix":"PREFIX","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"lm","maxAttempts":2}'

start_store
for n in 1 2; do
    start_engine $n --events 40 --gap-ms 200
done
put_configuration 1 "$stream_route" "$batch_route"
for entry in 1 2; do
    start_entry $entry "$store"
done
for entry in 1 2; do
    wait_for 20 "entry $entry is ready" is_ready $entry
done

items=
for n in $(seq -w 40); do
    items+=${items:+,}$(item e5b2907c14da6f$n 350 400)
done
submit 1 $job "$items"
[ "$status" = 202 ] || cannot "the batch job was not accepted"
sleep 1

# The paths of the items begin with /lots/x/.
prefix=/lots/x/
[ "${TROUBLE:-1}" != 0 ] || prefix=/lots/y/
put_configuration 2 "$stream_route" "$batch_route" \
    "${added_route/PREFIX/$prefix}"

for _ in $(seq 80); do
    read_job 2 $job 0
    [[ $answer != *dead_lettered* ]] ||
        broken "MIXED: an item is dead_lettered though its route is there"
    [[ $answer != *'"next":40'* ]] || held
    sleep 1
done
cannot "the job did not end"
