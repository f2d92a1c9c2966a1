#!/usr/bin/env bash
# Installs into a staging folder, then builds and runs the embedding example against it.
# Usage: Meta/check-install.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."

build=$(cd "$1" && pwd)
rm -rf "$build/staging" "$build/embed"
cmake --install "$build" --prefix "$build/staging" >/dev/null
cmake -S Examples/Embed -B "$build/embed" -G Ninja -DCMAKE_PREFIX_PATH="$build/staging" >/dev/null
cmake --build "$build/embed"
"$build/embed/embed"
"$build/staging/bin/lavenderpick" --help >/dev/null
