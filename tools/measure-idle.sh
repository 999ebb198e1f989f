#!/usr/bin/env bash
# Usage: measure-idle.sh BUILD_DIR [SECONDS]. Starts an idle cluster on loopback and prints for its processes the CPU
# time, the resident memory, and the bytes and messages sent per second. Of the agents, only the first ones are printed.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$(realpath "$1")
SECONDS_MEASURED=${2:-20}
WORK=$(mktemp -d)
export BASE_PORT=${BASE_PORT:-22000}
source samples/local-cluster.sh
trap 'stop_cluster; rm -rf "$WORK"' EXIT

start_cluster
wait_until 20 "$BUILD/agatedrum" apply --entry "$(entry_url 1)" --author idle -f samples/authority.yaml
sleep 3

http_port_of() { # http_port_of NAME: prints the HTTP port from the settings of a process
    sed -n 's/^http: .*port: \([0-9]*\)}/\1/p' "$WORK/$1.yaml"
}

sample() { # sample FILE: writes one line per process: name, clock ticks, resident kB, bytes sent, messages sent
    local name
    for name in "${!PIDS[@]}"; do
        if [[ $name == backend-* ]]; then continue; fi
        local ticks rss metrics
        ticks=$(awk '{print $14 + $15}' "/proc/${PIDS[$name]}/stat")
        rss=$(awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$name]}/status")
        metrics=$(curl -fs "http://127.0.0.1:$(http_port_of "$name")/metrics")
        echo "$name $ticks $rss $(awk '/^agatedrum_bus_bytes_sent_total/ {b=$2} /^agatedrum_bus_messages_sent_total/ {m=$2} END {print b, m}' <<< "$metrics")"
    done > "$1"
}

sample "$WORK/before"
sleep "$SECONDS_MEASURED"
sample "$WORK/after"
python3 - "$WORK" "$SECONDS_MEASURED" "$(getconf CLK_TCK)" <<'PY'
import sys
work, seconds, ticks = sys.argv[1], float(sys.argv[2]), float(sys.argv[3])
def read(name):
    return {row.split()[0]: [float(x) for x in row.split()[1:]] for row in open(f"{work}/{name}")}
before, after = read("before"), read("after")
print("| process | % of a core | resident MB | bytes sent/s | messages sent/s |")
print("| --- | --- | --- | --- | --- |")
for role in ("control", "owner", "entry", "agent"):
    for name in sorted(n for n in after if n.startswith(role + "-") and (role != "agent" or n <= "agent-2")):
        a, b = before[name], after[name]
        print(f"| {name} | {(b[0]-a[0])/ticks/seconds*100:.2f} | {b[1]/1024:.1f} | {(b[2]-a[2])/seconds:.0f} | {(b[3]-a[3])/seconds:.1f} |")
PY
