#!/usr/bin/env bash
# Fails if a name of the platform's wire or settings stands outside platform/, deploy/, Tests/ and docs/platform*.md.
set -euo pipefail
cd "$(dirname "$0")/.."

names=(
    X-Attempt-Id X-Server-Seal X-Token-Counts X-Prompt-Prefix X-Not-Executed X-Instance-Load X-Instance-Id
    X-Expect-Instance X-Expect-Version X-Helper-Instances X-Request-Urgency X-Tenant-Name X-Deadline-Ms
    X-Model-Name Server-Limit X-Weight-Versions Api-Key rows-tx rows-get rows-feed rows-parts blob-put blob-get
    coldLeftMs routeKind trafficSplit routeWeight sloMs gapTargetMs maxAttempts apiKeys engineParams kvTokens
    tokenStride kvUsed holdMs queueWait tokenCount afterRev waitMs pageLimit setKeys nodeName internalPorts
    coldS coldPerS coldExcess coldSlack seedNodes LAVENDERPICK_NODE_FILE configApplyMs drainMs evacuateMs idleMaxMs graceS retrySlack
    fleetbench
)
pattern=$(IFS='|'; echo "${names[*]}")
found=$(git grep -nIwE "$pattern" -- . ':!platform' ':!deploy' ':!Tests' ':!docs/platform*.md' ':!docs/incidents' \
    ':!journal' ':!KNOWN-RED.txt' ':!Meta/check-boundary.sh' || true)
[ -z "$found" ] || { printf 'Names of the platform outside platform/:\n%s\n' "$found"; exit 1; }
lines=$(cat platform/*.h platform/*.cpp | wc -l)
limit=1500
[ "$lines" -le $limit ] || { echo "platform/ has $lines lines; it only translates and stays under $limit."; exit 1; }
echo "Boundary: platform/ has $lines lines, and none of its names stands elsewhere."
