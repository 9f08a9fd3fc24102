#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3/.
# Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CXX:-g++} -std=c++20 -O2 -pthread -o target/review-3/probe \
    review/standin-3/probe.cpp -lboost_json
