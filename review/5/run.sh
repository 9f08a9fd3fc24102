#!/usr/bin/env bash
# One item of a batch job is larger than the memory of any engine, so that each
# engine rejects it as if it were full. Once its time (queueTtlS) is over, the
# item has to be given up: it must be listed before finishS ends.
set -u
cd "$(dirname "$0")/../.."
. review/lib.sh
begin review/5

queue_ttl_s=60
finish_s=18
job=7c41e09b52d6a3f8
last=e5b2907c14da6f03

start_store
for n in 1 2; do
    start_engine $n
done
put_configuration 1 "$stream_route" "$batch_route"
for entry in 1 2; do
    start_entry $entry "$store"
done
for entry in 1 2; do
    wait_for 20 "entry $entry is ready" is_ready $entry
done

# The engines have memory for 101,495 tokens.
tokens=150000
[ "${TROUBLE:-1}" != 0 ] || tokens=350
submit 1 $job "$(item e5b2907c14da6f01 350 400),$(item e5b2907c14da6f02 350 400),$(item $last $tokens 400)"
[ "$status" = 202 ] || cannot "the batch job was not accepted"

end=$((SECONDS + queue_ttl_s + finish_s + 2))
while [ "$SECONDS" -lt "$end" ]; do
    sleep 2
    read_job 2 $job 0
    [[ $answer != *'"next":3'* ]] || held
done
[ "$status" = 200 ] || cannot "the results can't be read"
broken "LOST: item $last is listed neither as succeeded nor as dead_lettered"
