#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. The test cases listed in
# KNOWN-RED.txt run after the others; their results are printed and do not
# change the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build

# Lines "program test_case" of the test cases known to fail.
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null || true)

if [ -z "$known_red" ]; then
    cd build
    exec ctest --output-on-failure --no-tests=error
fi

# Filter of Boost.Test that disables the test cases known to fail of a program.
other_cases_of() { # program
    awk -v program="$1" '$1 == program {
        printf "%s!%s", separator, $2; separator = ":" }' <<<"$known_red"
}

programs=$(awk '!seen[$1]++ { print $1 }' <<<"$known_red")
pattern="^($(paste -sd'|' <<<"$programs"))\$"
time_limit_s=480
status=0
(cd build && ctest --output-on-failure --no-tests=error -E "$pattern") ||
    status=1
for program in $programs; do
    (cd build && BOOST_TEST_RUN_FILTERS=$(other_cases_of "$program") \
        ctest --output-on-failure --no-tests=error -R "^$program\$") || status=1
done

while read -r program test_case; do
    result=passed
    timeout "$time_limit_s" "build/test_$program" "--run_test=$test_case" ||
        result=failed
    echo "known red: $program $test_case: $result (does not change the status)"
done <<<"$known_red"
sed 's/^/    /' KNOWN-RED.txt
exit "$status"
