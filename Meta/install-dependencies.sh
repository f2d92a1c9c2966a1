#!/usr/bin/env bash
# Installs the compiler, tools and libraries that the build and the tests need from Debian's packages.
set -euo pipefail

packages=(
    g++ cmake ninja-build pkg-config ccache clang-format-14 clang-tidy-14 clang-14 libclang-rt-14-dev
    libasio-dev libcpp-httplib-dev libcxxopts-dev libboost-dev libboost-log-dev libboost-test-dev
    libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libsodium-dev librapidcheck-dev libbenchmark-dev
    spin gnuplot-nox python3
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
