#!/usr/bin/env bash
# The operator adds a batch route whose service has no engines yet. 600 items wait
# for it at an entry. A job of the other batch route, with idle engines, comes to
# the same entry. It must be done before finishS ends.
set -u
cd "$(dirname "$0")/../.."
. review/lib.sh
begin review/4

finish_s=18
job=7c41e09b52d6a3f8
new_route='{"name":"r-drafts","host":"lots.example","pathPrefix":"/drafts/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"lm-new","maxAttempts":3,"sticky":true,"resumable":true,"gapAimMs":600,"dueMs":18000,"queueTtlS":60,"cap":2600000}'

start_store
start_engine 1
start_engine 2
put_configuration 1 "$stream_route" "$batch_route"
for entry in 1 2; do
    start_entry $entry "$store"
done
for entry in 1 2; do
    wait_for 20 "entry $entry is ready" is_ready $entry
done

# With TROUBLE=0 the new service has engines.
if [ "${TROUBLE:-1}" = 0 ]; then
    engine_service=lm-new
    start_engine 3 --events 2 --gap-ms 5
    start_engine 4 --events 2 --gap-ms 5
fi
put_configuration 2 "$stream_route" "$batch_route" "$new_route"
sleep 3

submit_file() { # path job file
    call POST "$(front 1)" "$1" --header "Host: lots.example" \
        --header "X-Tanagertrack-Request-Id: $2" \
        --header "X-Tanagertrack-Deadline-Ms: 4000" \
        --header "Content-Type: application/json" --body-file "$3"
    note "entry 1: batch job $2 submitted under $1: $status"
    [ "$status" = 202 ] || cannot "batch job $2 was not accepted"
}

make_job() { # file items prefix body
    local n items=()
    for n in $(seq -w "$2"); do
        items+=("$(item "e5b2907c$3$n" 350 400)")
    done
    local IFS=,
    printf '{"items":[%s]}' "${items[*]}" |
        sed "s#/lots/x/#$4#g; s#q83vEjRWeJA=#$5#g" >"$1"
}

small_body=q83vEjRWeJA=
body_of_15_kb=$(head -c 15000 /dev/zero | tr '\0' a | base64 -w 0)
for n in 1 2 3; do
    make_job "$work/job" 200 "a$n" /drafts/x/ $small_body
    submit_file /drafts/job "1111e09b52d6a3f$n" "$work/job"
done
make_job "$work/job" 24 b0 /lots/x/ "$body_of_15_kb"
submit_file /lots/job $job "$work/job"

sleep $((finish_s + 5))
read_job 2 $job 0
[ "$status" = 200 ] || cannot "the job can't be read"
[[ $answer != *'"totalCount":24,"next":24'* ]] || held
broken "LOST: items of batch job $job are not listed, and its engines are idle"
