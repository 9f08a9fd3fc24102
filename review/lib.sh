# Functions for the scripts under review/. Source it from the root of the
# repository. A script calls `begin FOLDER`, starts processes, and ends with
# `held` (0), `broken TEXT` (1) or `cannot TEXT` (2).

ip=127.0.0.1
stand_in=target/review/review_standin
store_stand_in=target/review/project/tanagertrack-standin
entry_program=target/tanagertrackd
pids=()

# Chooses a temporary folder and a free range of ports, and starts the record.
begin() { # folder
    record=$1/record.txt
    : >"$record"
    work=$(mktemp -d)
    trap stop_all EXIT
    trap 'exit 2' INT TERM
    local file
    for file in "$stand_in" "$store_stand_in" "$entry_program"; do
        [ -x "$file" ] || cannot "missing program $file"
    done
    choose_base_port
    note "TROUBLE=${TROUBLE:-1}"
}

# Ends the processes that this script started, by their ids.
stop_all() {
    local status=$? pid
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    [ ! -f "$work/engines.log" ] || {
        echo "-- what the engines saw (ms since 1970)"
        cat "$work/engines.log"
    } >>"$record"
    rm -rf "$work"
    exit "$status"
}

note() {
    printf '%s %s\n' "$(date +%s.%3N)" "$*" >>"$record"
}

held() {
    note "the rule held"
    echo held
    exit 0
}

broken() {
    note "BROKEN: $*"
    echo "broken: $*"
    exit 1
}

cannot() {
    note "can't run: $*"
    echo "can't run: $*" >&2
    exit 2
}

port_is_used() { (exec 3<>"/dev/tcp/$ip/$1") 2>/dev/null; }

choose_base_port() {
    local n
    for _ in $(seq 50); do
        base=$((20000 + RANDOM % 120 * 100))
        for n in 0 1 11 12 13 14 21 22 23 24 31 32 33 34; do
            ! port_is_used $((base + n)) || continue 2
        done
        return
    done
    cannot "no free range of ports"
}

start() { # name command...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

# Makes one call. Sets `status` (000: none), `framing` and `answer`.
call() { # method address path option...
    local out
    out=$("$stand_in" call --method "$1" --to "$2" --path "$3" "${@:4}")
    status=${out%% *}
    framing=${out#* }
    framing=${framing%%$'\n'*}
    answer=${out#*$'\n'}
}

wait_for() { # seconds what command...
    local deadline=$((SECONDS + $1)) what=$2
    shift 2
    until "$@"; do
        [ "$SECONDS" -lt "$deadline" ] || cannot "gave up: $what"
        sleep 0.1
    done
}

start_store() {
    store=$ip:$base
    start store "$store_stand_in" --kind store --listen "$store"
    wait_for 10 "the store starts" port_is_used "$base"
}

# Writes a key as the operator or an engine does. The value is a JSON text.
put() { # topic key value
    call POST "$store" /control/put --body \
        "{\"topic\":\"$1\",\"key\":\"$2\",\"value\":$3}"
    [ "$status" = 200 ] || cannot "the store did not take $1/$2"
    note "store: $1/$2 = $3"
}

# Service of the engines that are started from now on.
engine_service=lm

start_engine() { # number option...
    local port=$((base + 30 + $1)) id=i-$1
    start "engine-$1" "$stand_in" engine --listen "$ip:$port" --id "$id" \
        --log "$work/engines.log" "${@:2}"
    wait_for 10 "engine $1 starts" port_is_used "$port"
    put keyed.servers "$id" "{\"service\":\"$engine_service\",\"address\":\"$ip:$port\",\"zone\":\"poa-a\",\"version\":1,\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}"
}

# Addresses of an entry: callers, readiness.
front() { echo "$ip:$((base + 10 * $1 + 1))"; }
ready() { echo "$ip:$((base + 10 * $1 + 2))"; }

# Starts an entry with settings as deploy/entry.yaml.in gives them.
start_entry() { # number store-address
    local own=$((base + 10 * $1))
    cat >"$work/entry-$1.yaml" <<END
role: entry
callers: platform
name: "front-poa-a-$1"
address: $ip
data_centre: "poa-a"
region: "rs-sul"
regions:
  "poa-a": "rs-sul"
platform:
  store: "$2"
  front: "$ip:$((own + 1))"
  ready: "$ip:$((own + 2))"
store:
  partitions: 12
  max_record_bytes: 262144
  max_append_bytes: 2097152
  min_session_ms: 1000
  retention_s: 300
peer:
  port: $((own + 4))
  control: "$ip:$((own + 3))"
  entries:
    - "$ip:$((base + 13))"
    - "$ip:$((base + 23))"
batch:
  result_retention_s: 120
stop:
  grace_s: 8
END
    start "entry-$1" "$entry_program" "$work/entry-$1.yaml"
    entry_pid[$1]=$last_pid
}
entry_pid=()

is_ready() { # number
    call GET "$(ready "$1")" /tanagertrack/ready
    [ "$status" = 200 ]
}

# Routes: a resumable stream at chat.example, batch jobs at lots.example.
stream_route='{"name":"r-chat","host":"chat.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"lm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":600}'
batch_route='{"name":"r-lots","host":"lots.example","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"lm","maxAttempts":3,"sticky":true,"resumable":true,"gapAimMs":600,"dueMs":18000,"queueTtlS":60,"cap":2600000}'

service() { # name
    printf '{"name":"%s","healthPath":"/health","maxConns":370,"engine":{"slots":8,"kvCapacity":101495}}' "$1"
}

put_configuration() { # version route...
    local version=$1 IFS=,
    shift
    put keyed.op config "{\"version\":$version,\"routes\":[$*],\"services\":[$(service lm),$(service lm-new)],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":20000}}"
}

# Prints an item of a batch job.
item() { # id tokens-in tokens-out
    printf '{"id":"%s","path":"/lots/x/%s","headers":{"X-Tanagertrack-Model":"m","X-Tanagertrack-Token-Usage":"%s,%s","X-Tanagertrack-Prompt-Prefix":"aa01:100,%s:250"},"body":"q83vEjRWeJA=","tokenCount":%s}' \
        "$1" "$1" "$2" "$3" "$1" $(($2 + $3))
}

submit() { # entry job items
    call POST "$(front "$1")" "/lots/$2" --header "Host: lots.example" \
        --header "X-Tanagertrack-Request-Id: $2" \
        --header "X-Tanagertrack-Deadline-Ms: 4000" \
        --header "Content-Type: application/json" --body "{\"items\":[$3]}"
    note "entry $1: batch job $2 submitted: $status"
}

read_job() { # entry job after
    call GET "$(front "$1")" "/tanagertrack/lots/$2?after=$3" \
        --header "Host: lots.example"
    note "entry $1: batch job $2 read after $3: $status $answer"
}
