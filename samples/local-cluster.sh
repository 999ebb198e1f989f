# Sourced by the demo and the benchmarks. Provides functions that start and stop a complete cluster of processes on the
# loopback interface. Requires BUILD (directory of the programs) and WORK (empty directory for settings, data and logs).

DOMAINS=(north-shore harbour west-bluffs east-flats)
CONTROLS=${CONTROLS:-3}
OWNERS=${OWNERS:-3}
ENTRIES=${ENTRIES:-2}
BACKENDS=${BACKENDS:-11}
SLOTS=${SLOTS:-8}
BASE_PORT=${BASE_PORT:-20000}
SERVICE=${SERVICE:-visit-desk}
declare -A PIDS

port() { # port ROLE_OFFSET INDEX
    echo $((BASE_PORT + $1 + $2))
}

control_list() {
    local i
    echo "control:"
    for ((i = 1; i <= CONTROLS; i++)); do
        echo "  - {name: control-$i, address: {host: 127.0.0.1, port: $(port 0 "$i")}}"
    done
}

write_settings() { # write_settings ROLE INDEX PEER_OFFSET HTTP_OFFSET
    local file="$WORK/$1-$2.yaml"
    {
        echo "role: $1"
        echo "name: $1-$2"
        echo "failureDomain: ${DOMAINS[$((($2 - 1) % ${#DOMAINS[@]}))]}"
        echo "peers: {host: 127.0.0.1, port: $(port "$3" "$2")}"
        echo "http: {host: 127.0.0.1, port: $(port "$4" "$2")}"
        control_list
        if [ "$1" = control ]; then echo "dataFolder: $WORK/data-$2"; fi
    } > "$file"
}

start_process() { # start_process NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" > "$WORK/$name.out" 2> "$WORK/$name.log" &
    PIDS[$name]=$!
}

start_daemon() { # start_daemon ROLE INDEX
    start_process "$1-$2" "$BUILD/agatedrumd" --settings "$WORK/$1-$2.yaml"
}

speed_of() { # speed_of INDEX: speeds between 0.5 and 2.0, so that the backend servers differ
    local speeds=(0.5 0.7 0.8 0.9 1.0 1.0 1.1 1.2 1.4 1.7 2.0)
    echo "${speeds[$((($1 - 1) % ${#speeds[@]}))]}"
}

start_backend() { # start_backend INDEX
    start_process "backend-$1" "$BUILD/agatedrum-backend" --name "backend-$1" --service "$SERVICE" \
        --port "$(port 500 "$1")" --slots "$SLOTS" --connections 64 --speed "$(speed_of "$1")" \
        --agent "http://127.0.0.1:$(port 400 "$1")"
}

start_cluster() {
    local i
    for ((i = 1; i <= CONTROLS; i++)); do write_settings control "$i" 0 50; start_daemon control "$i"; done
    for ((i = 1; i <= OWNERS; i++)); do write_settings owner "$i" 100 150; start_daemon owner "$i"; done
    for ((i = 1; i <= ENTRIES; i++)); do write_settings entry "$i" 200 250; start_daemon entry "$i"; done
    for ((i = 1; i <= BACKENDS; i++)); do
        write_settings agent "$i" 300 400
        start_daemon agent "$i"
        start_backend "$i"
    done
}

entry_url() { # entry_url INDEX
    echo "http://127.0.0.1:$(port 250 "$1")"
}

wait_until() { # wait_until SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        if [ $SECONDS -ge $deadline ]; then return 1; fi
        sleep 0.1
    done
}

stop_process() { # stop_process NAME [SIGNAL]
    local pid=${PIDS[$1]:-}
    if [ -n "$pid" ]; then
        kill "-${2:-TERM}" "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null
        local code=$?
        unset "PIDS[$1]"
        return $code
    fi
}

stop_cluster() { # stops backend servers before agents, so that each agent is notified when its backend server leaves
    local group name
    for group in entry backend agent owner control; do
        for name in "${!PIDS[@]}"; do
            if [[ $name == "$group"-* ]]; then kill -TERM "${PIDS[$name]}" 2>/dev/null || true; fi
        done
        for name in "${!PIDS[@]}"; do
            if [[ $name == "$group"-* ]]; then
                wait "${PIDS[$name]}" 2>/dev/null || echo "$name ended with code $?" >&2
                unset "PIDS[$name]"
            fi
        done
    done
}
