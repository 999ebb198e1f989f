#!/usr/bin/env bash
# Fails when a name of the operators' platform stands outside platform/: it is to be decoded there, once.
set -euo pipefail
cd "$(dirname "$0")/.."
names='AGATEDRUM_NODE_FILE|Agatedrum-(Fencing|Expect|Duty|Deadline|Instance)|HeartbeatAddr|ColdRemainingMs'
names+='|AckCursor|EndedRuns|BestEffort|MaxUnavailable|PathPrefix|FencingToken|RunId|RejectsOverload|TargetDurationMs'
names+='|PendingJobs|RequiredLabel|CrossRackFactor|SeedNodes|BindAddrs'
if grep -rnE "\\b($names)\\b" src include tools/*.cpp tools/*.h --include='*.cpp' --include='*.h' --exclude-dir=gen-cpp; then
    echo "names of the platform outside platform/" >&2
    exit 1
fi
