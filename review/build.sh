#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review/project -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DTANAGERTRACK_TESTS=ON >/dev/null
cmake --build target/review/project --target tanagertrack-standin
"${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread \
    -o target/review/review_standin review/standin/review_standin.cpp
