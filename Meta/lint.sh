#!/usr/bin/env bash
# Runs clang-tidy over the product's sources. Usage: Meta/lint.sh BUILD_FOLDER [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
shift
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(find Libraries Services platform Utilities -name '*.cpp' | sort); fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy-14 --quiet -p "$build" 2> >(grep -v 'warnings generated\|warnings treated as errors' >&2)
