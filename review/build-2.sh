#!/usr/bin/env bash
# Builds the programs that play the script cases of this review into
# target/review-2. Needs what deploy/system.toml lists, and its build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$name" \
        "$source" -lboost_json -pthread
done
