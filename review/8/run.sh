#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-2/handshake target/src/daemon/medlarwayd "$here/record.txt" "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
