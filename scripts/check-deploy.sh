#!/usr/bin/env bash
# Builds the daemon by the build line of deploy/system.toml, which compiles each library as one unit, and runs it once.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
program=$(sed -n 's/^run = "\([^ ]*\) .*"$/\1/p' deploy/system.toml)
bash -euc "$build" >/dev/null
"$program" --version
