#!/usr/bin/env bash
# Runs clang-tidy over the product's sources. Usage: Meta/lint.sh BUILD_FOLDER [FILE...]
# A file whose preprocessed text and checks were clean before is not looked at again; the results stand
# in LINT_CACHE (by default under ~/.cache), and an empty folder there makes everything run.
set -euo pipefail
cd "$(dirname "$0")/.."

export LINT_BUILD=$1
export LINT_CACHE=${LINT_CACHE:-$HOME/.cache/lavenderpick-lint}
mkdir -p "$LINT_CACHE"
shift
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(find Libraries Services platform Utilities -name '*.cpp' | sort); fi

lint_file() {
    local command digest
    command=$(python3 - "$LINT_BUILD" "$1" <<'PYTHON'
import json, os, shlex, sys
for entry in json.load(open(os.path.join(sys.argv[1], "compile_commands.json"))):
    if os.path.realpath(os.path.join(entry["directory"], entry["file"])) == os.path.realpath(sys.argv[2]):
        words = shlex.split(entry["command"])
        words = words[next(i for i, word in enumerate(words) if word.endswith("c++") or word.endswith("g++")):]
        words = words[:words.index("-o")]
        print(shlex.join([word for word in words if word not in ("-c", "-MD")]))
        break
PYTHON
    )
    digest=$({ cat .clang-tidy; clang-tidy-14 --version; echo "$1"; eval "$command -E -P $1" 2>/dev/null; cat "$1"; } | sha256sum | cut -d' ' -f1)
    [ -e "$LINT_CACHE/$digest" ] && return 0
    clang-tidy-14 --quiet -p "$LINT_BUILD" "$1" 2> >(grep -v 'warnings generated\|warnings treated as errors' >&2) || return 1
    touch "$LINT_CACHE/$digest"
}
export -f lint_file
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" bash -c 'lint_file "$0"'
