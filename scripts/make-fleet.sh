#!/usr/bin/env bash
# Writes the settings of each process of a deployment and its first ticket.
#
#   scripts/make-fleet.sh DEPLOYMENT FOLDER [BASE_PORT ENTRIES ENGINES SERVICES]
#
# DEPLOYMENT is retorno or fondazione. All addresses are on 127.0.0.1:
#   BASE_PORT        the metadata store
#   +10*N            entry N: callers; +1 operators; +2 other entries (UDP);
#                    +3 entries that start
#   +400+10*N        engine N
#   +800+10*N        service N
set -euo pipefail

deployment=$1
folder=$2
base=${3:-21000}
entries=${4:-4}
case $deployment in
retorno)
    title="Retorno Sul Darkroom Returns Serving Tier"
    region=rs-sul
    centres=(poa-a poa-b cxs-a pel-a)
    model=lm-retorno
    service=app-rotulos
    once="POST /declarations"
    teams=(laboratorio rota-noturna)
    engines=${5:-20}
    ;;
fondazione)
    title="Tanagertrack Serving for Solidarity Hamper Dispatch"
    region=sicilia-ovest
    centres=(trapani marsala mazara erice)
    model=scribi
    service=carico
    once="POST /manifests"
    teams=(consegne etichette)
    engines=${5:-10}
    ;;
*)
    echo "$deployment: unknown deployment" >&2
    exit 2
    ;;
esac
services=${6:-4}
ip=127.0.0.1
mkdir -p "$folder"

# Data centre of the N-th process of a kind.
centre() { echo "${centres[$((($1 - 1) % ${#centres[@]}))]}"; }

process() { # role name number
    echo "# $title"
    echo "role: $1"
    echo "name: $2"
    echo "address: $ip"
    echo "data_centre: $(centre "$3")"
    echo "region: $region"
    echo "cluster_key: example-cluster-key-$deployment"
}

entry() { # number
    local port=$((base + 10 * $1)) n
    process entry "entry-$1" "$1"
    cat <<END
platform:
  store: $ip:$base
front:
  port: $port
operator:
  port: $((port + 1))
  key: example-operator-key-$deployment
peer:
  port: $((port + 2))
  control: $ip:$((port + 3))
END
    [ "$entries" -eq 1 ] || echo "  entries:"
    for ((n = 1; n <= entries; n++)); do
        [ "$n" -eq "$1" ] || echo "    - $ip:$((base + 10 * n + 3))"
    done
}

target() { # kind pool number port slots
    cat <<END
  - name: $2-$3
    address: $ip
    port: $4
    data_centre: $(centre "$3")
    region: $region
    kind: $1
    models: [$2]
    slots: $5
END
}

# Calls a function for each target: kind pool number port slots.
each_target() {
    local n
    for ((n = 1; n <= engines; n++)); do
        "$1" engine "$model" "$n" $((base + 400 + 10 * n)) 16
    done
    for ((n = 1; n <= services; n++)); do
        "$1" service "$service" "$n" $((base + 800 + 10 * n)) 8
    done
}

for ((n = 1; n <= entries; n++)); do
    entry "$n" >"$folder/entry-$n.yaml"
done

{
    echo "# $title"
    echo "ticket: 1"
    echo "models:"
    echo "  - name: $model"
    echo "services:"
    echo "  - name: $service"
    echo "    not_repeatable: [\"$once\"]"
    echo "teams:"
    for team in "${teams[@]}"; do
        echo "  - name: $team"
        echo "    key: example-key-$team"
        echo "    requests_per_second: 500"
        echo "    burst: 500"
        echo "    max_jobs: 100"
    done
    echo "targets:"
    each_target target
} >"$folder/ticket-1.yaml"
