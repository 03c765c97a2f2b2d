#!/usr/bin/env bash
# Installs what is missing, builds the workspace and runs every test, the fuzz targets among them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
for preset in release fuzz; do
    cmake --preset "$preset" >/dev/null
    cmake --build --preset "$preset"
    ctest --test-dir "build/$preset" --output-on-failure --no-tests=ignore -j "$(nproc)"
done
