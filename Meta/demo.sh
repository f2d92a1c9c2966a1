#!/usr/bin/env bash
# Installs what is needed, builds, starts the whole system on loopback, shows each kind of request, and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
exec python3 Meta/demo.py build
