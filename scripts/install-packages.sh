#!/usr/bin/env bash
# Installs the Debian packages that the build needs, where one is missing.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config
    libboost1.81-dev libboost-json1.81-dev libboost-test1.81-dev
    libprotobuf-dev libyaml-cpp-dev
    libtclap-dev libxxhash-dev curl
)
if [ "${1:-}" = "--with-checkers" ]; then
    packages+=(clang-format-14 clang-tidy-14 clang-format clang-tidy)
fi

missing=()
for name in "${packages[@]}"; do
    dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"
