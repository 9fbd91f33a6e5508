#!/usr/bin/env bash
# Runs every test of a build folder with fixed seeds: scripts/test.sh [BUILD]. Cases listed in KNOWN-RED.txt are
# printed and passed over; all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
exclude=()
if [ -s KNOWN-RED.txt ]; then
    names=$(sed -n 's/^test: //p' KNOWN-RED.txt)
    if [ -n "$names" ]; then
        echo "known failing tests, passed over:"
        echo "$names"
        pattern=$(printf '%s\n' "$names" | sed 's/[][\\.*^$()+?{}|]/\\&/g' | paste -sd '|')
        exclude=(-E "^($pattern)\$")
    fi
fi
ctest --test-dir "$build" -R '^rml-(unit|io|gateway)-tests/' -j "$(nproc)" --output-on-failure --no-tests=error \
    ${exclude[@]+"${exclude[@]}"}
# Process tests start daemons and stand-ins on loopback; one at a time keeps the machine's load bounded.
ctest --test-dir "$build" -R '^rml-process-tests/' -j 1 --output-on-failure --no-tests=error \
    ${exclude[@]+"${exclude[@]}"}
