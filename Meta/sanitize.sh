#!/usr/bin/env bash
# Runs the in-process tests with the address and undefined-behaviour sanitizers, and the tests of
# what has threads with the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."

threaded='^(LibHttp|LibRuntime|LibPlatform|LibDocument|LibRecords|ServiceEntry|ServiceAgent)$'
processes='Test$|^Install$'

cmake -S . -B build-address -G Ninja -DLAVENDERPICK_SANITIZE=ON >/dev/null
cmake --build build-address
ctest --test-dir build-address --output-on-failure -j 4 -E "$processes"

cmake -S . -B build-thread -G Ninja -DLAVENDERPICK_THREAD_SANITIZE=ON >/dev/null
cmake --build build-thread
TSAN_OPTIONS="suppressions=$PWD/Meta/thread-sanitizer.suppressions halt_on_error=1" \
    ctest --test-dir build-thread --output-on-failure -j 4 -R "$threaded"
