#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a fixed number of inputs and a fixed seed.
# Usage: Meta/fuzz.sh [RUNS]; a longer run, for example: Meta/fuzz.sh 10000000
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-50000}
build=build-fuzz
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DLAVENDERPICK_FUZZ=ON >/dev/null
cmake --build $build --target fuzz-targets
fuzz() {
    local target=$1 name corpus
    name=$(basename "$target")
    corpus=$build/corpus-$name
    rm -rf "$corpus"
    mkdir -p "$corpus"
    cp Tests/Fuzz/Seeds/"$name"/* "$corpus" 2>/dev/null || true
    echo "$name: $runs inputs"
    "$target" -runs="$runs" -seed=1 -max_len=4096 -timeout=10 -rss_limit_mb=2048 \
        -artifact_prefix=$build/"$name"- "$corpus" >"$build/$name.log" 2>&1 || { tail -40 "$build/$name.log"; exit 1; }
}
export -f fuzz
export runs build
find $build/Tests -maxdepth 1 -name 'Fuzz*' -type f -perm -u+x -print0 | xargs -0 -n 1 -P "$(nproc)" bash -c 'fuzz "$0"'
