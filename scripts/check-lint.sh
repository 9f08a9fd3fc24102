#!/usr/bin/env bash
# Runs the linter on all sources, or on the files given.
# Needs build/compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'test/*.cpp' 'bench/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
