#!/usr/bin/env bash
# Checks formatting; with --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.hpp' \
    'src/*.cpp' 'test/*.hpp' 'test/*.cpp' 'bench/*.hpp' 'bench/*.cpp' 'platform/*.hpp' 'platform/*.cpp')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
    echo "format: ${#files[@]} files clean"
fi
