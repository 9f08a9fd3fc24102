#!/usr/bin/env bash
# Builds everything into build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
