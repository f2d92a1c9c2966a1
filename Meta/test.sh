#!/usr/bin/env bash
# Installs what is needed, builds, and runs formatter, linter, all tests, the models and the fuzzers.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
Meta/check-format.sh
Meta/lint.sh build
ctest --test-dir build --output-on-failure -j 4
Meta/check-models.sh build
Meta/fuzz.sh
