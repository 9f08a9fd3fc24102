#!/usr/bin/env bash
# Writes docs/settings.md from the table that checks the settings.
set -euo pipefail
cd "$(dirname "$0")/.."
{
    cat <<'END'
# Settings

A daemon reads one YAML file: `tanagertrackd FILE`. `tanagertrackd
--check-settings FILE` checks it: each error names file, line, key and accepted
range, and the exit status is 2. Nested keys are written here with dots.

This page is made by `scripts/update-settings-page.sh`.

END
    build/tanagertrackd --settings-reference
} >docs/settings.md
