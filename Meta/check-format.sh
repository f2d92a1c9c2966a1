#!/usr/bin/env bash
# Fails if a source file differs from what clang-format 14 would write; `--fix` rewrites the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
find include Libraries Services platform Utilities Tests Examples \( -name '*.h' -o -name '*.cpp' \) -print0 |
    xargs -0 -r -n 20 -P "$(nproc)" clang-format-14 "${mode[@]}"
