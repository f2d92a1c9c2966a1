#!/usr/bin/env bash
# The test command, then ten million inputs for each fuzzer. Takes hours.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/test.sh
Meta/fuzz.sh 10000000
