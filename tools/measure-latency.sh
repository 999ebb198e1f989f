#!/usr/bin/env bash
# Usage: measure-latency.sh BUILD_DIR [JOBS]. Runs jobs with one task each, one after another, on an idle cluster. Prints
# percentiles of the latency that the dispatcher adds: the response time minus the run time that the agent measured.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$(realpath "$1")
JOBS=${2:-1000}
WORK=$(mktemp -d)
export BASE_PORT=${BASE_PORT:-23000}
source samples/local-cluster.sh
trap 'stop_cluster; rm -rf "$WORK"' EXIT

start_cluster
wait_until 20 "$BUILD/agatedrum" apply --entry "$(entry_url 1)" --author latency -f samples/authority.yaml
wait_until 20 curl -fs "$(entry_url 1)/readyz"
sleep 2
python3 - "$(port 250 1)" "$JOBS" <<'PY'
import http.client, json, sys, time
connection = http.client.HTTPConnection("127.0.0.1", int(sys.argv[1]), timeout=30)
added = []
for number in range(int(sys.argv[2])):
    job = {"caller": "latency", "team": "bookings", "submission": f"j{number}", "service": "visit-desk",
           "submittedAt": int(time.time() * 1000), "tasks": [{"id": "t", "body": '{"workUs":5000}', "declaredMs": 5}]}
    body = json.dumps(job)
    started = time.perf_counter()
    connection.request("POST", "/v1/jobs", body)
    answer = json.loads(connection.getresponse().read())
    elapsed = (time.perf_counter() - started) * 1000
    assert answer["state"] == "complete", answer
    added.append(elapsed - answer["tasks"][0]["runMs"])
added.sort()
percentile = lambda share: added[min(len(added) - 1, int(share * len(added)))]
print(f"added to {len(added)} jobs of one task, ms: "
      + ", ".join(f"p{share * 100:g} {percentile(share):.2f}" for share in (0.5, 0.9, 0.95, 0.99)) + f", max {added[-1]:.2f}")
PY
