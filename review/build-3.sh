#!/usr/bin/env bash
# Builds the stand-ins that the cases of this review start, into target/review-3. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
parts=()
for part in loop packet http store network endpoint router client host; do
    parts+=("review/standin-3/$part.cpp")
done
for program in roll_case seeds_case; do
    g++ -O2 -std=c++20 -Wall -Wextra -o "target/review-3/$program" "review/standin-3/$program.cpp" "${parts[@]}"
done
