#!/usr/bin/env bash
# Usage: demo.sh BUILD_DIR. Starts a complete cluster on the loopback interface, submits jobs through both entries,
# kills the agent of one backend server while a job runs, prints the answers that callers get, and stops the cluster.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$(realpath "$1")
WORK=$(mktemp -d)
export BASE_PORT=${BASE_PORT:-20000}
source samples/local-cluster.sh
trap 'stop_cluster; rm -rf "$WORK"' EXIT

CLI="$BUILD/agatedrum"
failures=0

check() { # check TEXT COMMAND...
    local text=$1
    shift
    if "$@" > "$WORK/check.out" 2>&1; then
        echo "ok: $text"
    else
        echo "FAILED: $text"
        cat "$WORK/check.out"
        failures=$((failures + 1))
    fi
}

write_job() { # write_job SUBMISSION TASKS WORK_US
    local now i
    now=$(date +%s%3N)
    {
        echo "{\"caller\":\"visit-desk-app\",\"team\":\"bookings\",\"submission\":\"$1\",\"service\":\"$SERVICE\","
        echo "\"submittedAt\":$now,\"idempotent\":false,\"tasks\":["
        for ((i = 1; i <= $2; i++)); do
            [ "$i" -gt 1 ] && echo ","
            echo "{\"id\":\"t$i\",\"body\":\"{\\\"workUs\\\":$3}\",\"declaredMs\":$(($3 / 1000))}"
        done
        echo "]}"
    } > "$WORK/$1.json"
}

submit() { # submit ENTRY SUBMISSION
    "$CLI" submit --entry "$(entry_url "$1")" --output json -f "$WORK/$2.json" > "$WORK/$2.answer"
}

is_complete() { # is_complete SUBMISSION TASKS
    python3 - "$WORK/$1.answer" "$2" <<'PY'
import json, sys
answer = json.load(open(sys.argv[1]))
assert answer["state"] == "complete", answer["state"]
assert len(answer["tasks"]) == int(sys.argv[2])
PY
}

summarize() { # summarize SUBMISSION
    python3 - "$WORK/$1.answer" <<'PY'
import collections, json, sys
answer = json.load(open(sys.argv[1]))
if "error" in answer:
    print("  refused:", answer["error"])
else:
    counts = collections.Counter(task["outcome"] for task in answer["tasks"])
    print("  answer:", answer["state"], dict(counts))
PY
}

echo "Starting $CONTROLS control processes, $OWNERS owners, $ENTRIES entries, $BACKENDS agents with a backend server each."
start_cluster
check "the control group accepts a configuration" \
    wait_until 20 "$CLI" apply --entry "$(entry_url 1)" --author demo -f samples/authority.yaml
check "the configuration is in force in every process" \
    "$CLI" apply --wait --entry "$(entry_url 2)" --author demo -f samples/authority.yaml
check "both entries are ready" wait_until 20 curl -fs "$(entry_url 1)/readyz" "$(entry_url 2)/readyz"

write_job warm-up 11 20000
check "a first job is answered" wait_until 20 submit 1 warm-up
for entry in 1 2; do
    write_job "job-$entry" 200 50000
    check "a job of 200 tasks through entry $entry" submit "$entry" "job-$entry"
    check "the answer is complete" is_complete "job-$entry" 200
    summarize "job-$entry"
done
check "the same submission through the other entry gets the same answer" submit 2 job-1
check "that answer is complete" is_complete job-1 200

echo "Killing the agent of backend-5 while a job runs."
write_job job-3 200 400000
submit 1 job-3 &
submitter=$!
sleep 0.5
stop_process agent-5 KILL
wait $submitter
summarize job-3
write_job job-4 100 50000
check "the next job runs on the other backend servers" submit 2 job-4
summarize job-4
check "the answer is complete" is_complete job-4 100

echo "Checking how often the backend servers started each task:"
starts_once() {
    local i
    for ((i = 1; i <= BACKENDS; i++)); do
        curl -fs "http://127.0.0.1:$(port 500 "$i")/v1/record" > "$WORK/record-$i.json" || return 1
    done
    python3 - "$WORK" <<'PY'
import collections, glob, json, sys
starts = collections.Counter()
for name in glob.glob(sys.argv[1] + "/record-*.json"):
    for task in json.load(open(name))["tasks"]:
        starts[task["task"]] += task["starts"]
twice = [task for task, count in starts.items() if count > 1]
print(len(starts), "tasks started,", len(twice), "of them twice")
assert starts and not twice
PY
}
check "no task started twice" starts_once
cat "$WORK/check.out"

echo "Running the commands of docs/operations.md:"
CONFIG="$WORK/next.yaml"
ENTRY=$(entry_url 1)
AGENT="http://127.0.0.1:$(port 400 1)"
OWNER="http://127.0.0.1:$(port 150 1)"
run_page_command() { # run_page_command LINE
    local line=${1//\$ENTRY/$ENTRY}
    line=${line//\$AGENT/$AGENT}
    line=${line//\$OWNER/$OWNER}
    line=${line//\$CONFIG/$CONFIG}
    read -ra words <<< "$line"
    "$CLI" "${words[@]:1}"
}
while IFS= read -r line; do
    # An applied file must have a higher number than the current configuration, and drain and undrain raise that number.
    number=$("$CLI" get configurations --entry "$ENTRY" --output json | python3 -c 'import json, sys; print(json.load(sys.stdin)[-1]["number"] + 1)')
    sed "s/^number: .*/number: $number/" samples/authority.yaml > "$CONFIG"
    check "$line" run_page_command "$line"
done < <(sed -n 's/^    \(agatedrum .*\)$/\1/p' docs/operations.md)
"$CLI" overview --entry "$ENTRY"
echo "Stopping."
stop_cluster 2> "$WORK/stop.err"
check "every process stopped gracefully" test ! -s "$WORK/stop.err"
cat "$WORK/stop.err"
[ $failures -eq 0 ] && echo "The demo passed."
exit $((failures > 0))
