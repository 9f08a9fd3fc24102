#!/usr/bin/env bash
# One engine breaks each fourth stream off in the middle of an event, the other
# one answers 500 to each second request. A stream that is cut short must not look
# complete to its client.
set -u
cd "$(dirname "$0")/../.."
. review/lib.sh
begin review/2

events=10
requests=100
break_file=$work/break
fail_file=$work/fail

start_store
start_engine 1 --events $events --break-while "$break_file" --break-every 4
put_configuration 1 "$stream_route"
start_entry 1 "$store"
start_entry 2 "$store"
wait_for 20 "entry 1 is ready" is_ready 1
wait_for 20 "entry 2 is ready" is_ready 2

# The second engine comes later: the first one is known to work by then.
[ "${TROUBLE:-1}" = 0 ] || touch "$break_file" "$fail_file"
start_engine 2 --events $events --fail-while "$fail_file" --fail-every 2
sleep 1

complete=0
cut_short=0
for n in $(seq -w $requests); do
    call POST "$(front 1)" /chat/1 --header "Host: chat.example" \
        --header "X-Tanagertrack-Request-Id: 9c41d07be2a35f$n" \
        --header "X-Tanagertrack-Model: m" \
        --header "X-Tanagertrack-Token-Usage: 460,80" \
        --header "X-Tanagertrack-Prompt-Prefix: 5c1e07a2:100,91bd3f$n:250" \
        --header "X-Tanagertrack-Deadline-Ms: 5000" --body question
    sleep 0.1
    pieces=$(grep -c '^data: word' <<<"$answer")
    note "request 9c41d07be2a35f$n: $status $framing, $pieces of $events events; body: ${answer//$'\n'/\\n}"
    [ "$status" = 200 ] && [ "$framing" = complete ] || continue
    if [ "$pieces" = $events ]; then
        complete=$((complete + 1))
    else
        cut_short=$((cut_short + 1))
    fi
done
note "answers with 200 that look complete: $complete are, $cut_short are cut short"
[ "$cut_short" = 0 ] ||
    broken "ORDER: $cut_short streams are cut short and look complete"
[ "${TROUBLE:-1}" != 0 ] || [ "$complete" = "$requests" ] ||
    cannot "only $complete of $requests streams were served without trouble"
held
