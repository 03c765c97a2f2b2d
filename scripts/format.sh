#!/usr/bin/env bash
# Formats every C++ file in place; with --check only says which ones differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
