#!/usr/bin/env bash
# Plays the full score of each site file with the users' bench, one site a call, and compares the worth of each day with the last committed
# score of that site. Usage: scripts/regression.sh BENCH SITE-FILE...   JOBS: days at a time (default: half of the cores)
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
    sed -n '2,3s/^# //p' "$0" >&2
    exit 2
fi
bench=$1
shift
jobs=${JOBS:-$((($(nproc) + 1) / 2))}
for site in "$@"; do
    "$bench" score "$site" --jobs "$jobs" --why "regression run of $(git rev-parse --short HEAD)"
    python3 scripts/compare-scores.py "$(basename "$site" .toml)"
done
