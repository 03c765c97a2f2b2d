#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile=(g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin)
for source in review/standin/*.cpp; do
    "${compile[@]}" -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
done
wait
objects=()
for source in review/standin/*.cpp; do
    objects+=("target/review/$(basename "$source" .cpp).o")
done
for source in review/[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" "${objects[@]}" -o "target/review/case-$name"
done
