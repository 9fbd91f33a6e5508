#!/usr/bin/env bash
# Runs clang-tidy over all sources of a configured build folder: scripts/lint.sh BUILD [FILE_PATTERN].
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-"$(pwd)/(src|platform)/.*\.cpp$"}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! run-clang-tidy -quiet -p "$build" -j "$(nproc)" "$pattern" >"$log" 2>&1; then
    grep -E '(error|warning): ' "$log" | sort -u | head -100
    echo "lint: failed"
    exit 1
fi
echo "lint: clean"
