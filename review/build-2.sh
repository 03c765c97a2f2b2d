#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 and their stand-ins into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
common=()
for source in review/standin-2/*.cpp; do
    case $source in */case_*) continue ;; esac
    object=target/review-2/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object"
    common+=("$object")
done
for source in review/standin-2/case_*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra "$source" "${common[@]}" -o "target/review-2/${name#case_}"
done
