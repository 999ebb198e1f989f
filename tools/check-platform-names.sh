#!/usr/bin/env bash
# Fails if a name of the operators' platform is used outside platform/, the only place that decodes these names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='AGATEDRUM_NODE_FILE|Agatedrum-(Fencing|Expect|Duty|Deadline|Instance)|HeartbeatAddr|ColdRemainingMs'
names+='|AckCursor|EndedRuns|BestEffort|MaxUnavailable|PathPrefix|FencingToken|RunId|RejectsOverload|TargetDurationMs'
names+='|PendingJobs|RequiredLabel|CrossRackFactor|SeedNodes|BindAddrs'
if grep -rnE "\\b($names)\\b" src include tools/*.cpp tools/*.h --include='*.cpp' --include='*.h' --exclude-dir=gen-cpp; then
    echo "error: platform names used outside platform/" >&2
    exit 1
fi
